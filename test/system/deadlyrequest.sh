#!/usr/bin/env bash
# One request that crashes each engine that begins to answer it comes again at all entries, as a whole answer, as a
# stream and under claims: after some crashes no entry sends it any more, also after all daemons were killed and started
# again, and other requests of the caller are answered.
source "$(dirname "$0")/fleet.sh"

ENGINES=12
ENGINE_1=$((FLEET_PORT + 40))

# ask N CONTENT [HEADER]: a whole answer of daemon N, with the HTTP status in a line of its own.
ask() {
    curl -s -m 60 -w '\n%{http_code}' -D "$FLEET_DIR/head" -H 'Authorization: Bearer key-acme' ${3:+-H "$3"} \
        -d "{\"model\":\"clause\",\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"$2\"}]}" \
        "http://$(entry "$1")/v1/chat/completions"
}

alive() {
    local n count=0
    for n in $(seq 1 $ENGINES); do
        ! kill -0 "$(pid_of "engine$n")" 2>/dev/null || count=$((count + 1))
    done
    printf '%d' "$count"
}

start_fleet 3 3
wait_ready 1 2 3
for n in $(seq 1 $ENGINES); do
    FAKE_ENTRIES="1 2 3" start_fakes "engine$n" --engines 1 --base-port $((ENGINE_1 + n - 1)) --models clause:20000 \
        --token-ms 50 --deadly-text 'deadly words'
done
write_configuration "$FLEET_DIR/deployment.toml"
eventually 30 operate 1 apply "$FLEET_DIR/deployment.toml" --author test --change-id first || fail "apply"
for n in 1 2 3; do
    eventually 30 has_version "$n" 1 || fail "daemon $n does not know version 1"
    eventually 30 has_upstreams "$n" $ENGINES || fail "daemon $n does not know $ENGINES upstreams"
done
stored=$(ask 1 'sound words' 'Idempotency-Key: sound')
[ "$(tail -n 1 <<<"$stored")" = 200 ] || fail "a sound claim is not answered: $stored"

# Under claims it runs once each, so that each may end one engine.
for n in 1 2 3; do
    answer=$(ask "$n" 'the deadly words' "Idempotency-Key: deadly$n")
    say "claim $n: $(tail -n 1 <<<"$answer") $(head -n -1 <<<"$answer" | jq -r .error.code), $(alive) engines are left"
done
[ "$(alive)" -ge $((ENGINES - 3)) ] || fail "three claims ended $((ENGINES - $(alive))) engines"
sleep 2
left=$(alive)
for n in 1 2 3; do
    for key in 'X-None: 1' "Idempotency-Key: later$n"; do
        answer=$(ask "$n" 'the deadly words' "$key")
        [ "$(tail -n 1 <<<"$answer")" = 503 ] || fail "daemon $n sends it: $answer"
        [ "$(head -n -1 <<<"$answer" | jq -r '.error | "\(.code) \(.not_run)"')" = 'quarantined true' ] ||
            fail "daemon $n refuses it for another reason: $answer"
        grep -qi '^retry-after: [1-9]' "$FLEET_DIR/head" || fail "no time to come back: $(cat "$FLEET_DIR/head")"
    done
    [ "$(ask "$n" "sound words $n" | tail -n 1)" = 200 ] || fail "daemon $n refuses a sound request"
    code=$(ask "$n" 'the deadly words' 'Idempotency-Key: deadly1' | head -n -1 | jq -r .error.code)
    [ "$code" = outcome_unknown ] || fail "the outcome of a claim that was lost is told as $code"
done
[ "$(ask 2 'sound words' 'Idempotency-Key: sound' | tail -n 1)" = 200 ] || fail "a stored answer is not given"
[ "$(alive)" -eq "$left" ] || fail "$((left - $(alive))) engines ended after the quarantine"
curl -s "http://$(entry 1)/metrics" | grep -q '^bamboomoor_quarantines_total{decided_by="leader"}' || fail "not counted"
# taken N: how many quarantines daemon N has taken since the log began.
taken() {
    # A leader logs what it reads from the state in a line of the same kind, before its own entry has taken it.
    grep -c 'event=part_quarantined.*part=request:.*decided_by=leader' "$FLEET_DIR/vm$1.log" || true
}
took_more() {
    [ "$(taken "$1")" -gt "$2" ]
}
eventually 10 grep -hq 'event=quarantines_recorded' "$FLEET_DIR"/vm?.log || fail "no leader recorded its quarantines"
for n in 1 2 3; do
    kill -KILL "$(pid_of "$n")"
    printf -v "TAKEN_$n" '%d' "$(taken "$n")"
done
for n in 1 2 3; do
    # Until its ports and its folder are free.
    wait "$(pid_of "$n")" || true
    start_daemon "$n"
done
wait_ready 1 2 3
for n in 1 2 3; do
    eventually 30 has_upstreams "$n" "$left" || fail "daemon $n does not know $left upstreams after its restart"
    known=TAKEN_$n
    eventually 10 took_more "$n" "${!known}" || fail "daemon $n has no quarantine after a restart of all daemons"
    answer=$(ask "$n" 'the deadly words' 'X-None: 1')
    [ "$(head -n -1 <<<"$answer" | jq -r .error.code)" = quarantined ] || fail "daemon $n sends it again: $answer"
    [ "$(ask "$n" "sound words $n" | tail -n 1)" = 200 ] || fail "daemon $n refuses a sound request after its restart"
done
[ "$(alive)" -eq "$left" ] || fail "$((left - $(alive))) engines ended after a restart of all daemons"
say "$(alive) of $ENGINES engines are left, the request is refused everywhere, and sound ones are answered"
