#!/usr/bin/env bash
# Clients outside the limits at an entry and at a control VM: both live, stay within the memory of their machines and
# answer an ordinary request.
ENTRIES="1 2"
source "$(dirname "$0")/relayfleet.sh"
source "$(dirname "$0")/../../../system/crowdfleet.sh"

ENTRY_SETTINGS="max_body_bytes = $CROWD_BODY"
MEMORY_SETTINGS="${MEMORY_SETTING-[memory]
machine_mib = $MEMORY_MIB}"
start_relays

ordinary() {
    [ "$(ask 1 /again/whole -d 'a small body' -o /dev/null -w '%{http_code}')" = 200 ]
}
crowds "$(pid entry 1)" "$(entry_ip 1)" "$FLEET_PORT" ordinary 'POST /again/whole HTTP/1.1' 'Host: h.example' \
    'X-Attempt-Id: crowd'
say "an entry bears clients outside the limits"
if [ -n "${FORWARDING:-}" ]; then
    crowds "$(pid entry 1)" "$(entry_ip 1)" "$((FLEET_PORT + 3))" ordinary 'POST /again/whole HTTP/1.1' 'Host: h.example'
    say "an entry bears them at the address for other entries"
fi

# Heartbeats of both upstreams go on arriving as well, without which the entries would stop to serve.
crowds "$(pid control 1)" "$(control_ip 1)" "$FLEET_PORT" accepted 'POST /Config.Replace HTTP/1.1' 'Host: c' \
    'Content-Type: application/json'
eventually 30 served 2 || fail "entries do not serve after the crowd at a control VM"
say "a control VM bears clients outside the limits"
