#!/usr/bin/env bash
# A daemon whose drain reaches its limit answers what is left; it closes no connection without a response.
export DRAIN_LIMIT_MS=3000
export PROGRESS_TIMEOUT_MS=15000
source "$(dirname "$0")/fleet.sh"

SERVICE=$((FLEET_PORT + 42))

start_fleet 3 3
wait_ready 1 2 3
FAKE_ENTRIES="1 2 3" start_fakes fake --engines 1 --services 1 --service-names registry \
    --base-port $((FLEET_PORT + 41)) --models clause:20000 --token-ms 50
write_configuration "$FLEET_DIR/deployment.toml"
eventually 30 operate 1 apply "$FLEET_DIR/deployment.toml" --author test --change-id first || fail "apply"
eventually 30 has_version 3 1 || fail "daemon 3 does not know version 1"
eventually 30 has_upstreams 3 2 || fail "daemon 3 does not know two upstreams"
curl -s -m 10 -d '{"delay_ms":12000}' "http://127.0.0.1:$SERVICE/fake/faults" >/dev/null

in_progress() {
    [ "$(operate "$1" status --json | jq .status.in_progress)" -ge "$2" ]
}

pids=()
for k in 1 2 3 4; do
    curl -s -m 30 -o "$FLEET_DIR/call.$k" -w '%{http_code}' -H 'Authorization: Bearer key-acme' -d "call $k" \
        "http://$(entry 3)/registry/pairings" >"$FLEET_DIR/status.$k" &
    pids+=($!)
done
eventually 20 in_progress 3 4 || fail "not all of four calls are in progress"
kill -TERM "$(pid_of 3)"
for pid in "${pids[@]}"; do
    wait "$pid" || fail "a caller's connection was closed without a response"
done
for k in 1 2 3 4; do
    case "$(cat "$FLEET_DIR/status.$k")" in
    5*) ;;
    *) fail "call $k: status $(cat "$FLEET_DIR/status.$k")" ;;
    esac
done
wait "$(pid_of 3)" || true
say "a drain that reaches its limit answers four calls"
