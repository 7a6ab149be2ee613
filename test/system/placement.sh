#!/usr/bin/env bash
# Placement with real processes: models and adapters that no engine holds become reachable, the leader is killed while
# it loads, an engine is lost for good and its models answer again, and no accelerator is ever overcommitted.
source "$(dirname "$0")/fleet.sh"

EXTRA_SETTINGS=$'[placement]\nloads_per_second = 20'
start_fleet 4 3
wait_ready 1 2 3 4
FAKE_ENTRIES="1 2 3 4" start_fakes fake --engines 3 --base-port $((FLEET_PORT + 40)) --data-centres dc1,dc2,dc3 \
    --accelerators 2 --memory-mib 80000 --order-ms 300 --checks-fencing mixed
FAKE_ENTRIES="1 2 3 4" start_fakes spare --engines 1 --base-port $((FLEET_PORT + 50)) --data-centres dc2 \
    --accelerators 2 --memory-mib 80000 --order-ms 300 --checks-fencing no
write_configuration "$FLEET_DIR/deployment.toml"
for model in alpha beta gamma delta; do
    printf '[[model]]\nname = "%s"\nmemory_mib = 30000\n' "$model" >>"$FLEET_DIR/deployment.toml"
done
for adapter in one two; do
    printf '[[adapter]]\nname = "%s"\nmodel = "alpha"\nmemory_mib = 500\n' "$adapter" >>"$FLEET_DIR/deployment.toml"
done
operate 1 apply "$FLEET_DIR/deployment.toml" --author demo || fail "apply"

leader_of() {
    operate "$1" status --json | jq -r .status.leader
}

sleep 4
leader=$(leader_of 4)
kill -KILL "$(pid_of "${leader#vm}")"
say "the leader, $leader, is killed while it places"
answers() {
    [ "$(code_of "$(chat 4 key-acme "$1")")" = none ]
}
for name in clause alpha beta gamma delta one two; do
    eventually 90 answers "$name" || fail "$name does not answer: $(chat 4 key-acme "$name")"
done
say "seven models and adapters answer that no engine held"

kill -KILL "$PID_spare"
for name in clause alpha beta gamma delta one two; do
    eventually 90 answers "$name" || fail "$name does not answer after an engine was lost"
done
say "all answer again after an engine was lost"
for port in 40 41 42; do
    stats=$(curl -s "http://127.0.0.1:$((FLEET_PORT + port))/fake/stats")
    [ "$(jq -r .over_committed <<<"$stats")" = 0 ] || fail "memory was overcommitted: $stats"
done
say "no accelerator was overcommitted"
