#!/usr/bin/env bash
# The whole path once: a fake fleet announces itself, an operator applies a configuration, callers get a streamed
# answer and a plain service's answer through any daemon, and each refusal carries its code.
source "$(dirname "$0")/fleet.sh"

start_fleet 4 3
wait_ready 1 2 3 4
say "four daemons are ready, three of them voters"
FAKE_ENTRIES="1 2 3 4" start_fakes fake --engines 2 --services 1 --service-names registry \
    --base-port $((FLEET_PORT + 40)) --data-centres dc1,dc2 --models clause:20000 --token-ms 5
write_configuration "$FLEET_DIR/deployment.toml"
"$BAMBOOMOOR" check "$FLEET_DIR/deployment.toml" || fail "check refuses the configuration"
operate 1 apply "$FLEET_DIR/deployment.toml" --author demo || fail "apply"
for n in 1 2 3 4; do
    eventually 30 has_version "$n" 1 || fail "daemon $n does not know version 1"
    eventually 30 has_upstreams "$n" 3 || fail "daemon $n does not know three upstreams"
done
say "version 1 is in force and three upstreams are known at every daemon"

for n in 1 2 3 4; do
    answer=$(chat "$n" key-acme clause)
    [ "$(jq -r '.choices[0].message.content' <<<"$answer" | wc -w)" = 8 ] || fail "daemon $n: $answer"
    stream=$(chat "$n" key-acme clause ',"stream":true')
    [ "$(grep -c '"content"' <<<"$stream")" -ge 8 ] || fail "daemon $n streams: $stream"
    grep -q '^data: \[DONE\]' <<<"$stream" || fail "daemon $n ends its stream without [DONE]"
    answer=$(curl -s -m 30 -H 'Authorization: Bearer key-zenith' -d 'a pairing' "http://$(entry "$n")/registry/pairings")
    [ "$(jq -r .body <<<"$answer")" = 'a pairing' ] || fail "daemon $n, service: $answer"
    curl -s -m 30 "http://$(entry "$n")/public/roster" | jq -e '.path == "/public/roster"' >/dev/null || fail "open route"
done
say "whole and streamed answers, and a plain service's, through every daemon"

[ "$(code_of "$(chat 2 key-wrong clause)")" = invalid_key ] || fail "a wrong key is not refused"
[ "$(code_of "$(chat 2 key-acme nothing)")" = unknown_model ] || fail "an unknown model is not refused"
[ "$(code_of "$(curl -s -H 'Authorization: Bearer key-acme' "http://$(entry 2)/nowhere")")" = unknown_route ] || fail "route"
[ "$(code_of "$(curl -s "http://$(entry 2)/registry/pairings")")" = invalid_key ] || fail "a missing key is not refused"
[ "$(jq -r .error.not_run <<<"$(chat 2 key-wrong clause)")" = true ] || fail "a refusal does not say that it did not run"
say "wrong key, unknown model, unknown route and missing key are refused by their codes"

# Resends under one Idempotency-Key run once, through any daemon.
once() {
    curl -s -m 30 -H 'Authorization: Bearer key-acme' -H 'Idempotency-Key: amendment-7' -d "$2" \
        "http://$(entry "$1")/registry/amendments"
}
first=$(once 1 'raise by 3')
for n in 2 3 4 1; do
    [ "$(once "$n" 'raise by 3')" = "$first" ] || fail "a resend at daemon $n got another answer"
done
[ "$(code_of "$(once 2 'raise by 4')")" = idempotency_mismatch ] || fail "another body under the same key"
runs=$(curl -s "http://127.0.0.1:$((FLEET_PORT + 42))/fake/runs" | jq '[.. | strings | select(. == "raise by 3")] | length')
[ "$runs" = 1 ] || fail "the amendment ran $runs times"
say "five sends of one amendment ran once"

chat 3 key-zenith clause ',"stream":true,"max_tokens":8000' >"$FLEET_DIR/stream" &
stream_pid=$!
eventually 30 grep -q content "$FLEET_DIR/stream" || fail "the long stream does not begin"
operate 1 key withdraw zenith main --author demo || fail "key withdraw"
wait "$stream_pid" || fail "the stream was cut instead of ended"
[ "$(code_of "$(grep '^data: ' "$FLEET_DIR/stream" | tail -n 1 | cut -c7-)")" = key_withdrawn ] \
    || fail "a stream goes on under a withdrawn key: $(tail -c 200 "$FLEET_DIR/stream")"
withdrawn() {
    [ "$(code_of "$(curl -s -m 5 -H 'Authorization: Bearer key-zenith' "http://$(entry "$1")/registry/x")")" = invalid_key ]
}
for n in 1 2 3 4; do
    eventually 5 withdrawn "$n" || fail "daemon $n still takes a withdrawn key"
done
[ "$(operate 3 history --json | jq '.versions | length')" = 2 ] || fail "history"
for port in 40 41 42; do
    seen=$(curl -s "http://127.0.0.1:$((FLEET_PORT + port))/fake/stats" | jq -r .keys_seen)
    [ "$seen" = 0 ] || fail "an upstream saw $seen keys"
done
say "a withdrawn key is refused everywhere, and no upstream has seen a key"

kill -TERM "$(pid_of 4)"
wait "$(pid_of 4)" || fail "daemon 4 did not end gracefully"
say "daemon 4 has ended gracefully"
