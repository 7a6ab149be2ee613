#!/usr/bin/env bash
# Claims under failure: a request with an Idempotency-Key runs at most once, whichever daemon or leader dies.
export PROGRESS_TIMEOUT_MS=15000
source "$(dirname "$0")/fleet.sh"

SERVICE=$((FLEET_PORT + 40))

fault() {
    curl -s -m 10 -d "$1" "http://127.0.0.1:$SERVICE/fake/faults" >/dev/null || fail "faults"
}

runs_of() {
    curl -s -m 10 "http://127.0.0.1:$SERVICE/fake/runs" | jq --arg body "$1" '[.runs[] | select(.body == $body)] | length'
}

ran() {
    [ "$(runs_of "$1")" -ge 1 ]
}

# once N KEY BODY
once() {
    curl -s -m 40 -H 'Authorization: Bearer key-acme' -H "Idempotency-Key: $2" -d "$3" \
        "http://$(entry "$1")/registry/amendments"
}

# once_gets N KEY BODY CODE: true when the answer has this code.
once_gets() {
    [ "$(code_of "$(once "$1" "$2" "$3")")" = "$4" ]
}

# once_answers N KEY BODY: true when the answer is that of the service.
once_answers() {
    [ "$(jq -r .body <<<"$(once "$1" "$2" "$3")")" = "$3" ]
}

role() {
    operate "$1" status --json --timeout-ms 2000 | jq -r .status.voter.role
}

find_leader() {
    local n
    for n in 1 2 3; do
        [ "$(role "$n" 2>/dev/null)" != leader ] || { LEADER=$n && return 0; }
    done
    return 1
}

start_fleet 4 3
wait_ready 1 2 3 4
FAKE_ENTRIES="1 2 3" start_fakes fake --engines 0 --services 1 --service-names registry --base-port "$SERVICE"
write_configuration "$FLEET_DIR/deployment.toml"
eventually 30 operate 1 apply "$FLEET_DIR/deployment.toml" --author test --change-id first || fail "apply"
for n in 1 2 3 4; do
    eventually 30 has_version "$n" 1 || fail "daemon $n does not know version 1"
    eventually 30 has_upstreams "$n" 1 || fail "daemon $n does not know the service"
done

# Daemon 4 dies while the service runs its request.
fault '{"delay_ms":3000}'
once 4 dead 'raise by 3' >"$FLEET_DIR/dead" 2>&1 &
CALLER=$!
claimed() {
    once_gets 1 dead 'raise by 3' in_progress
}
# The claim is open and the request is at the service before the daemon dies.
requested() {
    [ "$(curl -s -m 10 "http://127.0.0.1:$SERVICE/fake/stats" | jq .requests)" -ge 1 ]
}
eventually 20 requested || fail "the request does not arrive at the service"
kill -KILL "$(pid_of 4)"
wait "$CALLER" && fail "the caller of a killed daemon got an answer: $(cat "$FLEET_DIR/dead")"
for n in 1 2 3; do
    once_gets "$n" dead 'raise by 3' in_progress || fail "a resend at daemon $n: $(once "$n" dead 'raise by 3')"
done
fault '{"delay_ms":0}'
start_daemon 4
wait_ready 4
for n in 1 2 3 4; do
    eventually 20 once_gets "$n" dead 'raise by 3' outcome_unknown || fail "after the restart: $(once "$n" dead 'raise by 3')"
done
[ "$(jq .error.not_run <<<"$(once 2 dead 'raise by 3')")" = null ] || fail "a resend claims to know whether it ran"
sleep 3
[ "$(runs_of 'raise by 3')" = 1 ] || fail "the request of the killed daemon ran $(runs_of 'raise by 3') times"
say "a killed daemon's claim stays in progress, becomes unknown with its restart, and ran once"

# A claim that is stored, one that is open: both survive the leader.
eventually 20 once_answers 1 stored 'raise by 4' || fail "a plain request: $(once 1 stored 'raise by 4')"
eventually 30 find_leader || fail "nobody leads"
KILLED=$LEADER
ENTRY=$((KILLED % 3 + 1))
OTHER=$((ENTRY % 3 + 1))
fault '{"delay_ms":3000}'
before=$(curl -s -m 10 "http://127.0.0.1:$SERVICE/fake/stats" | jq .requests)
once "$ENTRY" open 'raise by 5' >"$FLEET_DIR/open" &
CALLER=$!
another() {
    [ "$(curl -s -m 10 "http://127.0.0.1:$SERVICE/fake/stats" | jq .requests)" -gt "$before" ]
}
eventually 20 another || fail "the request does not arrive at the service"
kill -KILL "$(pid_of "$KILLED")"
wait "$CALLER" || fail "the caller got nothing"
[ "$(jq -r .body "$FLEET_DIR/open")" = 'raise by 5' ] || fail "the caller got $(cat "$FLEET_DIR/open")"
fault '{"delay_ms":0}'
for n in "$ENTRY" "$OTHER" 4; do
    eventually 30 once_answers "$n" open 'raise by 5' || fail "a resend at daemon $n: $(once "$n" open 'raise by 5')"
    eventually 30 once_answers "$n" stored 'raise by 4' || fail "a stored answer at daemon $n: $(once "$n" stored 'raise by 4')"
    once_gets "$n" dead 'raise by 3' outcome_unknown || fail "a claim is forgotten: $(once "$n" dead 'raise by 3')"
done
start_daemon "$KILLED"
wait_ready "$KILLED"
eventually 30 once_answers "$KILLED" open 'raise by 5' || fail "the killed voter: $(once "$KILLED" open 'raise by 5')"

# The service's answer is lost: the claim is closed as unknown and never tried again.
fault '{"reset_during":1}'
eventually 20 once_gets 4 lost 'raise by 6' outcome_unknown || fail "a lost answer: $(once 4 lost 'raise by 6')"
for n in 1 2 3 4; do
    eventually 20 once_gets "$n" lost 'raise by 6' outcome_unknown || fail "a resend: $(once "$n" lost 'raise by 6')"
done

# Many sends of one request at once through all daemons.
pids=()
for n in 1 2 3 4 1 2 3 4 1 2 3 4; do
    once "$n" race 'raise by 7' >>"$FLEET_DIR/race" &
    pids+=($!)
done
wait "${pids[@]}"
for n in 1 2 3 4; do
    eventually 20 once_answers "$n" race 'raise by 7' || fail "after the race: $(once "$n" race 'raise by 7')"
done
for body in 'raise by 4' 'raise by 5' 'raise by 6' 'raise by 7'; do
    [ "$(runs_of "$body")" = 1 ] || fail "'$body' ran $(runs_of "$body") times"
done
say "claims survive the leader, and each request ran once"
