#!/usr/bin/env bash
# Upstreams that close themselves for a time, or say in an answer that they leave: they get nothing more from an entry
# that they told, also no retry and no resumed stream; with all of them closed, callers are refused at once.
source "$(dirname "$0")/fleet.sh"

ENGINE_1=$((FLEET_PORT + 40))
ENGINE_2=$((FLEET_PORT + 41))
SERVICE_1=$((FLEET_PORT + 42))

fault() {
    curl -s -m 10 -d "$2" "http://127.0.0.1:$1/fake/faults" >/dev/null || fail "faults of $1"
}

requests() {
    curl -s -m 10 "http://127.0.0.1:$1/fake/stats" | jq -r .requests
}

# generate PROMPT [EXTRA_JSON]: at daemon 1; the head goes to a file of its own.
generate() {
    curl -s -m 30 -D "$FLEET_DIR/head" -H 'Authorization: Bearer key-acme' -d "{\"model\":\"clause\",\"max_tokens\":8${2:-},
        \"messages\":[{\"role\":\"user\",\"content\":\"$1\"}]}" "http://$(entry 1)/v1/chat/completions"
}

served() {
    [ "$(code_of "$(generate "$1")")" = none ] || fail "a caller was not served beside a closed upstream: $(cat "$FLEET_DIR/head")"
}

call() {
    curl -s -m 30 -H 'Authorization: Bearer key-acme' -d "$1" "http://$(entry 1)/public/roster"
}

# until_asked PORT COMMAND...: repeats the command until the upstream has got another request.
until_asked() {
    local port=$1 before n
    shift
    before=$(requests "$port")
    for n in $(seq 1 200); do
        "$@" "turn $n $RANDOM" >/dev/null
        [ "$(requests "$port")" = "$before" ] || return 0
    done
    fail "the upstream at $port gets nothing"
}

start_fleet 3 3
wait_ready 1 2 3
FAKE_ENTRIES="1 2 3" start_fakes fake --engines 2 --services 2 --service-names registry \
    --base-port $ENGINE_1 --models clause:20000 --token-ms 5
write_configuration "$FLEET_DIR/deployment.toml"
eventually 30 operate 1 apply "$FLEET_DIR/deployment.toml" --author test --change-id first || fail "apply"
eventually 30 has_version 1 1 || fail "daemon 1 does not know version 1"
eventually 30 has_upstreams 1 4 || fail "daemon 1 does not know four upstreams"

# One of two closed: the other one serves, retries included.
fault $ENGINE_1 '{"refuse_with":{"Retry-After":"12"}}'
until_asked $ENGINE_1 served
closed_at=$SECONDS
before=$(requests $ENGINE_1)
for n in $(seq 1 40); do
    served "closed $n $RANDOM"
done
fault $ENGINE_2 '{"reset_during":1}'
answer=$(generate "a stream" ',"stream":true')
fault $ENGINE_2 '{"reset_during":0}'
[ "$(grep -c '"content"' <<<"$answer")" = 8 ] || fail "a resumed stream is not whole: $answer"
[ $((SECONDS - closed_at)) -lt 11 ] || fail "the machine is too slow for this test"
[ "$(requests $ENGINE_1)" = "$before" ] || fail "a closed upstream got requests"
fault $ENGINE_1 '{"refuse_with":{}}'
sleep $((closed_at + 13 - SECONDS))
until_asked $ENGINE_1 served
say "a closed upstream gets nothing, neither retries nor resumed streams, until it opens"

# What cannot be read closes nothing.
fault $ENGINE_1 '{"refuse_with":{"Retry-After":"-5"}}'
until_asked $ENGINE_1 served
sleep 1
until_asked $ENGINE_1 served
fault $ENGINE_1 '{"refuse_with":{}}'
curl -s -m 5 "http://$(entry 1)/metrics" | grep -q '^bamboomoor_upstream_words_total{change="unreadable"} [1-9]' \
    || fail "an unreadable Retry-After is not counted"
say "an unreadable Retry-After closes nothing and is counted"

# Both closed: callers are refused at once, and told when to come back.
fault $ENGINE_1 '{"refuse_with":{"Retry-After":"8"}}'
fault $ENGINE_2 '{"refuse_with":{"Retry-After":"30"}}'
refused() {
    local answer
    answer=$(generate "both $RANDOM")
    [ "$(jq -r '.error.code + " " + (.error.not_run | tostring)' <<<"$answer")" = 'no_upstream true' ]
}
eventually 5 refused || fail "callers are not refused while all upstreams are closed"
before=$(($(requests $ENGINE_1) + $(requests $ENGINE_2)))
began=$(date +%s%3N)
for n in $(seq 1 20); do
    refused || fail "a caller was not refused although all upstreams are closed"
    after=$(sed -n 's/^[Rr]etry-[Aa]fter: \([0-9]*\).*/\1/p' "$FLEET_DIR/head")
    [ "$after" -ge 4 ] && [ "$after" -le 10 ] || fail "Retry-After is '$after'"
    printf '%s\n' "$after" >>"$FLEET_DIR/delays"
done
[ $(($(date +%s%3N) - began)) -lt 3000 ] || fail "callers waited although all upstreams are closed"
[ "$(sort -u "$FLEET_DIR/delays" | wc -l)" -ge 2 ] || fail "all callers are to come back at once"
[ $(($(requests $ENGINE_1) + $(requests $ENGINE_2))) = "$before" ] || fail "closed upstreams got requests"
fault $ENGINE_1 '{"refuse_with":{}}'
fault $ENGINE_2 '{"refuse_with":{}}'
say "with all upstreams closed, callers are refused at once and come back spread"

# One that says that it leaves gets nothing more, until its next incarnation.
fault $SERVICE_1 '{"refuse_with":{"X-Bamboomoor-Leaving":"1"}}'
until_asked $SERVICE_1 call
fault $SERVICE_1 '{"refuse_with":{}}'
before=$(requests $SERVICE_1)
for n in $(seq 1 60); do
    [ "$(jq -r .body <<<"$(call "leaving $n")")" = "leaving $n" ] || fail "a caller was not served beside an upstream that leaves"
done
[ "$(requests $SERVICE_1)" = "$before" ] || fail "an upstream that leaves got requests"
fault $SERVICE_1 '{"restart":true}'
sleep 2
until_asked $SERVICE_1 call
say "an upstream that says that it leaves gets nothing until its next incarnation"
