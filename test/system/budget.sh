#!/usr/bin/env bash
# One organisation calls through all daemons at several times its rate: over the whole run it gets no more tokens than
# its burst and its rate allow, also while the leader dies; its neighbour is never refused for it.
source "$(dirname "$0")/fleet.sh"

RATE=200
BURST=400
SECONDS_OF_LOAD=12

start_fleet 4 3
wait_ready 1 2 3 4
FAKE_ENTRIES="1 2 3 4" start_fakes fake --engines 2 --base-port $((FLEET_PORT + 40)) --models clause:20000 --token-ms 1
ACME_RATE=$RATE ACME_BURST=$BURST write_configuration "$FLEET_DIR/deployment.toml"
eventually 30 operate 1 apply "$FLEET_DIR/deployment.toml" --author test --change-id first || fail "apply"
for n in 1 2 3 4; do
    eventually 30 has_version "$n" 1 || fail "daemon $n does not know version 1"
    eventually 30 has_upstreams "$n" 2 || fail "daemon $n does not know two upstreams"
done

now_ms() {
    date +%s%3N
}

# call_on N KEY FILE PAUSE: calls until the load ends; one answer a line.
call_on() {
    while [ -e "$FLEET_DIR/go" ]; do
        chat "$1" "$2" clause >>"$3" || true
        printf '\n' >>"$3"
        sleep "$4"
    done
}

find_leader() {
    local n
    for n in 1 2 3; do
        if [ "$(operate "$n" status --json --timeout-ms 2000 2>/dev/null | jq -r .status.voter.role)" = leader ]; then
            LEADER=$n
            return 0
        fi
    done
    return 1
}

# load NAME [KILL]: runs the load; with KILL the leader dies in its midst.
load() {
    local name=$1 pids=() n k start end used most
    touch "$FLEET_DIR/go"
    start=$(now_ms)
    for n in 1 2 3 4; do
        for k in 1 2 3; do
            call_on "$n" key-acme "$FLEET_DIR/$name.acme.$n.$k" 0.02 &
            pids+=($!)
        done
        call_on "$n" key-zenith "$FLEET_DIR/$name.zenith.$n" 0.2 &
        pids+=($!)
    done
    FLEET_PIDS+=("${pids[@]}")
    sleep $((SECONDS_OF_LOAD / 2))
    if [ "${2:-}" = KILL ]; then
        find_leader || fail "nobody leads"
        kill -KILL "$(pid_of "$LEADER")"
    fi
    sleep $((SECONDS_OF_LOAD / 2))
    rm "$FLEET_DIR/go"
    wait "${pids[@]}"
    end=$(now_ms)
    used=$(cat "$FLEET_DIR/$name".acme.* | jq -s '[.[] | .usage.total_tokens // 0] | add')
    most=$((BURST + RATE * (end - start) / 1000))
    say "$name: $used tokens of at most $most"
    [ "$used" -gt 0 ] || fail "nothing was admitted"
    [ "$used" -le "$most" ] || fail "$used tokens were admitted, at most $most are due"
    grep -q '"rate_exceeded"' "$FLEET_DIR/$name".acme.* || fail "no call was refused, so that the load shows nothing"
    if grep -h '"rate_exceeded"' "$FLEET_DIR/$name".zenith.*; then
        fail "the neighbour is refused for its rate"
    fi
    grep -q '"choices"' "$FLEET_DIR/$name".zenith.* || fail "the neighbour is not served"
}

load steady
# The budget is full again only after this time; without it the second run would be measured against less.
load killed KILL
start_daemon "$LEADER"
wait_ready 1 2 3 4
