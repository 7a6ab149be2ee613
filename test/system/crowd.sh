#!/usr/bin/env bash
# Clients outside the limits at a daemon of the product's own interface: it lives, stays within the memory of its machine
# and answers an ordinary request.
source "$(dirname "$0")/fleet.sh"
source "$(dirname "$0")/crowdfleet.sh"

EXTRA_SETTINGS="${MEMORY_SETTING-[memory]
machine_mib = $MEMORY_MIB}"
start_fleet 1 1
sed -i "s/^\[entry\]$/[entry]\nmax_body_bytes = $CROWD_BODY/" "$FLEET_DIR/vm1.toml"
kill_daemon 1
start_daemon 1
wait_ready 1
FAKE_ENTRIES=1 start_fakes fake --engines 1 --base-port $((FLEET_PORT + 40)) --models clause:20000 --token-ms 1
write_configuration "$FLEET_DIR/deployment.toml"
operate 1 apply "$FLEET_DIR/deployment.toml" --author crowd >/dev/null || fail "apply"
eventually 30 has_version 1 1 || fail "the configuration is not in force"

ordinary() {
    [ "$(jq -r '.choices[0].message.content' <<<"$(chat 1 key-acme clause)" | wc -w)" = 8 ]
}
eventually 30 ordinary || fail "no request is answered"
crowds "$(pid_of 1)" 127.0.0.1 "$((FLEET_PORT + 1))" ordinary 'POST /v1/chat/completions HTTP/1.1' 'Host: h' \
    'Authorization: Bearer key-acme' 'Content-Type: application/json'
say "a daemon bears clients outside the limits"
