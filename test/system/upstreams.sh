#!/usr/bin/env bash
# Upstreams that fail while they answer: a stream is resumed and reaches its caller whole, a call that may run once
# runs at most once, and nothing new goes to an upstream that leaves or is dead.
export PROGRESS_TIMEOUT_MS=1500
source "$(dirname "$0")/fleet.sh"

ENGINE_1=$((FLEET_PORT + 40))
ENGINE_2=$((FLEET_PORT + 41))
ENGINE_3=$((FLEET_PORT + 50))
SERVICE=$((FLEET_PORT + 42))

fault() {
    curl -s -m 10 -d "$2" "http://127.0.0.1:$1/fake/faults" >/dev/null || fail "faults of $1"
}

stat() {
    curl -s -m 10 "http://127.0.0.1:$1/fake/stats" | jq -r ".$2"
}

runs_of() {
    curl -s -m 10 "http://127.0.0.1:$SERVICE/fake/runs" | jq --arg body "$1" '[.runs[] | select(.body == $body)] | length'
}

# stream N PROMPT: the caller's view of a streamed generation of 20 words.
stream() {
    curl -s -m 60 -H 'Authorization: Bearer key-acme' -d "{\"model\":\"clause\",\"stream\":true,\"max_tokens\":20,
        \"messages\":[{\"role\":\"user\",\"content\":\"$2\"}]}" "http://$(entry "$1")/v1/chat/completions"
}

words_of() {
    sed -n 's/^data: \({.*\)$/\1/p' <<<"$1" | jq -j '.choices[0].delta.content // ""'
}

# whole ANSWER WORDS: all words in order, one end, one id, no error.
whole() {
    [ "$(words_of "$1")" = "$2" ] && [ "$(grep -c '^data: \[DONE\]' <<<"$1")" = 1 ] && ! grep -q '"error"' <<<"$1" \
        && [ "$(sed -n 's/^data: \({.*\)$/\1/p' <<<"$1" | jq -r .id | sort -u | wc -l)" = 1 ]
}

start_fleet 3 3
wait_ready 1 2 3
FAKE_ENTRIES="1 2 3" start_fakes fake --engines 2 --services 1 --service-names registry \
    --base-port $ENGINE_1 --models clause:20000 --token-ms 5
write_configuration "$FLEET_DIR/deployment.toml"
eventually 30 operate 1 apply "$FLEET_DIR/deployment.toml" --author test --change-id first || fail "apply"
for n in 1 2 3; do
    eventually 30 has_version "$n" 1 || fail "daemon $n does not know version 1"
    eventually 30 has_upstreams "$n" 3 || fail "daemon $n does not know three upstreams"
done

expected=$(words_of "$(stream 1 'the reference')")
[ "$(wc -w <<<"$expected")" = 20 ] || fail "a stream without a fault has the words $expected"

faulted() {
    printf '%d' $(($(stat $ENGINE_1 faulted) + $(stat $ENGINE_2 faulted)))
}

# Each engine commits the fault once at most, so that an attempt is left for every stream.
for kind in reset_before reset_during truncate silent silent_during garbage; do
    before=$(faulted)
    for port in $ENGINE_1 $ENGINE_2; do
        fault "$port" "{\"$kind\":1}"
    done
    answer=$(stream 1 'the reference')
    whole "$answer" "$expected" || fail "$kind shows in the stream: $answer"
    [ "$(faulted)" -gt "$before" ] || fail "$kind was not met"
    for port in $ENGINE_1 $ENGINE_2; do
        fault "$port" "{\"$kind\":0}"
    done
done
resumed=$(($(stat $ENGINE_1 resumed) + $(stat $ENGINE_2 resumed)))
[ "$resumed" -ge 4 ] || fail "only $resumed streams were resumed"
say "streams are whole under six kinds of faults, $resumed of them resumed"

# Whole answers under garbage.
fault $ENGINE_1 '{"garbage":1}'
fault $ENGINE_2 '{"garbage":1}'
for n in 1 2 3 1 2 3; do
    answer=$(chat "$n" key-acme clause)
    [ "$(jq -r '.choices[0].message.content' <<<"$answer" | wc -w)" = 8 ] || fail "garbage reached a caller: $answer"
done
fault $ENGINE_1 '{"garbage":0}'
fault $ENGINE_2 '{"garbage":0}'

# prompts PREFIX: twelve streams at once, each with its own prompt, in files PREFIX.n.
prompts() {
    local n pids=()
    for n in $(seq 1 12); do
        stream $((n % 3 + 1)) "prompt number $n" >"$FLEET_DIR/$1.$n" &
        pids+=($!)
    done
    wait "${pids[@]}"
}

# each_its_own PREFIX: every answer is the one to its prompt.
each_its_own() {
    local n
    for n in $(seq 1 12); do
        whole "$(cat "$FLEET_DIR/$1.$n")" "$(words_of "$(cat "$FLEET_DIR/calm.$n")")" \
            || fail "caller $n: $(cat "$FLEET_DIR/$1.$n")"
    done
}

prompts calm
[ "$(for n in $(seq 1 12); do words_of "$(cat "$FLEET_DIR/calm.$n")"; printf '\n'; done | sort -u | wc -l)" = 12 ] \
    || fail "two prompts have the same answer"
fault $ENGINE_1 '{"reset_during":1,"truncate":1}'
prompts faulty
each_its_own faulty
fault $ENGINE_1 '{"reset_during":0,"truncate":0}'
say "garbage reaches no caller, and each of twelve callers at once gets the answer to its own prompt"

# call BODY PATH
call() {
    curl -s -m 30 -H 'Authorization: Bearer key-acme' -d "$1" "http://$(entry 1)$2"
}
for kind in reset_during truncate silent silent_during; do
    fault $SERVICE "{\"$kind\":1}"
    answer=$(call "once $kind" /registry/pairings)
    ran=$(runs_of "once $kind")
    [ "$ran" -le 1 ] || fail "a call that may run once ran $ran times under $kind"
    if [ "$kind" != truncate ]; then
        [ "$(code_of "$answer")" = outcome_unknown ] || fail "$kind of a service's answer: $answer"
        [ "$(jq '.error.not_run' <<<"$answer")" = null ] || fail "$kind claims to know whether it ran: $answer"
    fi
    fault $SERVICE "{\"$kind\":1}"
    answer=$(call "again $kind" /public/roster)
    [ "$kind" = truncate ] || [ "$(jq -r .body <<<"$answer")" = "again $kind" ] || fail "$kind, idempotent: $answer"
done
say "a service call runs at most once and its outcome is told as unknown; an idempotent one is tried again"

# An engine dies in the middle of streams.
FAKE_ENTRIES="1 2 3" start_fakes third --engines 1 --base-port $ENGINE_3 --models clause:20000 --token-ms 100
for n in 1 2 3; do
    eventually 30 has_upstreams "$n" 4 || fail "daemon $n does not know four upstreams"
done
third_runs() {
    [ "$(stat $ENGINE_3 running)" -ge 1 ]
}
for _ in $(seq 1 10); do
    prompts killed &
    CALLERS=$!
    KILLED=no
    while [ $KILLED = no ] && kill -0 $CALLERS 2>/dev/null; do
        ! third_runs || KILLED=yes
    done
    [ $KILLED = no ] || kill -KILL "$(pid_of third)"
    wait $CALLERS
    each_its_own killed
    [ $KILLED = no ] || break
done
[ $KILLED = yes ] || fail "no stream ran at the engine to be killed"
say "an engine killed in mid-stream does not show to its callers"

# One that leaves gets nothing new.
fault $ENGINE_1 '{"leaving":true}'
sleep 3
before=$(stat $ENGINE_1 requests)
for n in 1 2 3 1 2 3 1 2 3; do
    whole "$(stream "$n" 'the reference')" "$expected" || fail "a stream fails while an engine leaves"
done
[ "$(stat $ENGINE_1 requests)" = "$before" ] || fail "a leaving engine got new requests"
say "an engine that leaves gets nothing new"
