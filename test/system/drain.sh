#!/usr/bin/env bash
# A daemon that is told to end finishes what it has begun: readiness fails first, no stream and no call is cut.
export PROGRESS_TIMEOUT_MS=15000
source "$(dirname "$0")/fleet.sh"

SERVICE=$((FLEET_PORT + 42))

start_fleet 3 3
wait_ready 1 2 3
FAKE_ENTRIES="1 2 3" start_fakes fake --engines 2 --services 1 --service-names registry \
    --base-port $((FLEET_PORT + 40)) --models clause:20000 --token-ms 50
write_configuration "$FLEET_DIR/deployment.toml"
eventually 30 operate 1 apply "$FLEET_DIR/deployment.toml" --author test --change-id first || fail "apply"
for n in 1 2 3; do
    eventually 30 has_version "$n" 1 || fail "daemon $n does not know version 1"
    eventually 30 has_upstreams "$n" 3 || fail "daemon $n does not know three upstreams"
done

# stream N: a generation of 100 words, which takes 5 s at least.
stream() {
    curl -s -m 60 -H 'Authorization: Bearer key-acme' -d '{"model":"clause","stream":true,"max_tokens":100,
        "messages":[{"role":"user","content":"a long text"}]}' "http://$(entry "$1")/v1/chat/completions"
}

call() {
    curl -s -m 60 -H 'Authorization: Bearer key-acme' -d "$2" "http://$(entry "$1")/registry/pairings"
}

in_progress() {
    [ "$(operate "$1" status --json | jq .status.in_progress)" -ge "$2" ]
}

# starts_refusing N: readiness fails.
unready() {
    [ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' "http://$(entry "$1")/readyz")" != 200 ]
}

# drain_under_load N SIGNALS: ends daemon N while four streams and four calls run at it.
drain_under_load() {
    local n=$1 k pids=() pid status=0
    curl -s -m 10 -d '{"delay_ms":4000}' "http://127.0.0.1:$SERVICE/fake/faults" >/dev/null
    for k in 1 2 3 4; do
        stream "$n" >"$FLEET_DIR/stream.$n.$k" &
        pids+=($!)
        call "$n" "call $n $k" >"$FLEET_DIR/call.$n.$k" &
        pids+=($!)
    done
    eventually 20 in_progress "$n" 8 || fail "not all of eight requests are in progress"
    kill -TERM "$(pid_of "$n")"
    eventually 10 unready "$n" || fail "a daemon that drains is ready"
    for k in $(seq 2 "$2"); do
        kill -TERM "$(pid_of "$n")" 2>/dev/null || true
        sleep 0.2
    done
    kill -0 "$(pid_of "$n")" || fail "daemon $n ended before its requests"
    for pid in "${pids[@]}"; do
        wait "$pid" || fail "a caller's connection was cut"
    done
    for k in 1 2 3 4; do
        [ "$(grep -c '"content"' "$FLEET_DIR/stream.$n.$k")" = 100 ] || fail "stream $k is cut: $(tail -n 3 "$FLEET_DIR/stream.$n.$k")"
        grep -q '^data: \[DONE\]' "$FLEET_DIR/stream.$n.$k" || fail "stream $k does not end with [DONE]"
        [ "$(jq -r .body "$FLEET_DIR/call.$n.$k")" = "call $n $k" ] || fail "call $k: $(cat "$FLEET_DIR/call.$n.$k")"
    done
    wait "$(pid_of "$n")" || status=$?
    [ "$status" = 0 ] || fail "daemon $n ended with status $status"
}

drain_under_load 3 1
say "a drained daemon finishes four streams and four calls, and ends with status 0"

# The rest goes on, and a daemon that starts again takes its place.
curl -s -m 10 -d '{"delay_ms":0}' "http://127.0.0.1:$SERVICE/fake/faults" >/dev/null
served() {
    [ "$(jq -r '.choices[0].message.content' <<<"$(chat "$1" key-acme clause)" | wc -w)" = 8 ]
}
for n in 1 2; do
    eventually 30 served "$n" || fail "daemon $n does not serve after the drain of another"
done
start_daemon 3
wait_ready 3

drain_under_load 2 4
say "further signals change nothing"
for n in 1 3; do
    eventually 30 served "$n" || fail "daemon $n does not serve after the drain of another"
done
