#!/usr/bin/env bash
# The leader dies, freezes, and everything restarts while callers and operators go on: no accepted change is lost, no
# base has two winners, and nobody serves by an old configuration.
source "$(dirname "$0")/fleet.sh"

leader_among() {
    local n
    for n in "$@"; do
        if [ "$(operate "$n" status --json --timeout-ms 2000 2>/dev/null | jq -r .status.voter.role)" = leader ]; then
            printf '%s' "$n"
            return 0
        fi
    done
    return 1
}

find_leader() {
    LEADER=$(leader_among "$@") && [ -n "$LEADER" ]
}

# change N BASE_VERSION BASE_DIGEST CHANGE_ID FILE: applies until the outcome is known; prints it.
change() {
    local answer
    for _ in $(seq 1 60); do
        answer=$(operate "$1" apply "$5" --base "$2" --base-digest "$3" --change-id "$4" --author test --json || true)
        case $(jq -r '.outcome + " " + .code' <<<"$answer" 2>/dev/null) in
        'done accepted' | 'refused base_mismatch')
            printf '%s\n' "$answer"
            return 0
            ;;
        esac
        sleep 0.2
    done
    printf 'no outcome: %s\n' "$answer"
    return 1
}

# in_force N: sets VERSION and DIGEST to what is in force.
in_force() {
    local answer
    answer=$(operate "$1" show --json --timeout-ms 5000) || return 1
    read -r VERSION DIGEST < <(jq -r '"\(.version) \(.digest)"' <<<"$answer")
}

# variant N: writes a document that differs by N.
variant() {
    ACME_RATE=$((100000 + $1)) write_configuration "$FLEET_DIR/document.$1"
    printf '%s/document.%s' "$FLEET_DIR" "$1"
}

# rightly FILE: each answer of a caller is whole, or a refusal that says that nothing ran.
rightly() {
    local answer
    while IFS= read -r answer; do
        if ! jq -e '(.choices[0].message.content // "" | split(" ") | map(select(. != "")) | length == 8)
            or .error.not_run == true' <<<"$answer" >/dev/null; then
            fail "a caller got: $answer"
        fi
    done <"$1"
}

start_fleet 4 3
wait_ready 1 2 3 4
FAKE_ENTRIES="4" start_fakes fake --engines 2 --base-port $((FLEET_PORT + 40)) --models clause:20000 --token-ms 5
eventually 30 operate 4 apply "$(variant 0)" --author test --change-id change-0 || fail "the first change"
eventually 30 has_version 4 1 || fail "daemon 4 does not know version 1"
eventually 30 has_upstreams 4 2 || fail "daemon 4 does not know two upstreams"

# Callers go on at daemon 4, which is no voter.
touch "$FLEET_DIR/go"
while [ -e "$FLEET_DIR/go" ]; do
    chat 4 key-acme clause
    printf '\n'
    sleep 0.1
done >"$FLEET_DIR/callers" &
CALLER=$!
FLEET_PIDS+=("$CALLER")

# Changes are applied one after the other; in their midst the leader is killed.
eventually 30 find_leader 1 2 3 || fail "nobody leads"
KILLED=$LEADER
BASE_VERSION=()
BASE_DIGEST=()
for n in 1 2 3 4 5 6; do
    [ "$n" != 3 ] || { sleep 0.05 && kill -KILL "$(pid_of "$KILLED")"; } &
    eventually 40 in_force 4 || fail "what is in force is not shown"
    BASE_VERSION[n]=$VERSION
    BASE_DIGEST[n]=$DIGEST
    answer=$(change 4 "$VERSION" "$DIGEST" "change-$n" "$(variant "$n")") || fail "change $n: $answer"
    [ "$(jq -r .code <<<"$answer")" = accepted ] || fail "change $n: $answer"
    printf '%s\n' "$answer" >"$FLEET_DIR/outcome.$n"
done
say "six changes are accepted, the leader was killed in their midst"
for n in 1 2 3 4 5 6; do
    answer=$(change 4 "${BASE_VERSION[n]}" "${BASE_DIGEST[n]}" "change-$n" "$(variant "$n")") || fail "resend of change $n: $answer"
    [ "$(jq -r .version <<<"$answer")" = "$(jq -r .version "$FLEET_DIR/outcome.$n")" ] || fail "a resend of change $n: $answer"
done
[ "$(operate 4 history --json | jq -c '[.versions[] | .change_id] | sort')" = \
    '["change-0","change-1","change-2","change-3","change-4","change-5","change-6"]' ] \
    || fail "history: $(operate 4 history --json)"
say "each resend gets the first outcome, and the history holds each accepted change once"

# Two racing changes from one base.
eventually 40 in_force 4 || fail "what is in force is not shown"
OTHER=$((KILLED % 3 + 1))
change 4 "$VERSION" "$DIGEST" race-a "$(variant 101)" >"$FLEET_DIR/race.a" &
A=$!
change "$OTHER" "$VERSION" "$DIGEST" race-b "$(variant 102)" >"$FLEET_DIR/race.b" &
B=$!
wait $A || fail "race: $(cat "$FLEET_DIR/race.a")"
wait $B || fail "race: $(cat "$FLEET_DIR/race.b")"
[ "$(jq -r .code "$FLEET_DIR/race.a" "$FLEET_DIR/race.b" | grep -c accepted)" = 1 ] \
    || fail "two racing changes: $(cat "$FLEET_DIR/race.a" "$FLEET_DIR/race.b")"
say "of two racing changes from one base one wins"

start_daemon "$KILLED"
wait_ready "$KILLED"
eventually 30 has_version "$KILLED" $((VERSION + 1)) || fail "the killed voter does not catch up"
caught_up() {
    local behind ahead
    behind=$(operate "$KILLED" status --json | jq .status.voter.applied_index)
    ahead=$(operate "$OTHER" status --json | jq .status.voter.applied_index)
    [ "$behind" -ge "$ahead" ]
}
eventually 30 caught_up || fail "the killed voter's log does not catch up"
say "the killed voter has caught up"

# The leader freezes; a key is withdrawn meanwhile; when it wakes it must not serve by it.
eventually 30 find_leader 1 2 3 || fail "nobody leads"
FROZEN=$LEADER
withdrawn() {
    [ "$(code_of "$(chat "$1" key-zenith clause)")" = invalid_key ]
}
kill -STOP "$(pid_of "$FROZEN")"
eventually 40 operate 4 key withdraw zenith main --change-id withdrawal --author test || fail "key withdraw"
for n in 1 2 3 4; do
    [ "$n" = "$FROZEN" ] || eventually 20 withdrawn "$n" || fail "daemon $n still takes a withdrawn key"
done
sleep 2.5
kill -CONT "$(pid_of "$FROZEN")"
for _ in $(seq 1 20); do
    code=$(code_of "$(chat "$FROZEN" key-zenith clause)")
    case $code in
    not_fresh | invalid_key) ;;
    *) fail "the woken leader answers a withdrawn key with $code" ;;
    esac
done
eventually 30 withdrawn "$FROZEN" || fail "the woken leader does not learn of the withdrawal"
say "a frozen leader that wakes serves nothing by the old configuration"

rm "$FLEET_DIR/go"
wait "$CALLER"
rightly "$FLEET_DIR/callers"
served=$(grep -c '"choices"' "$FLEET_DIR/callers")
[ "$served" -ge 1 ] || fail "no caller was served"
say "$served of $(wc -l <"$FLEET_DIR/callers") calls were served meanwhile, the others refused as not run:"
jq -r 'select(.error) | .error.code' "$FLEET_DIR/callers" | sort | uniq -c

before=$(operate 4 history --json | jq -c '[.versions[] | [.version, .digest, .change_id]]')
for n in 1 2 3 4; do
    kill_daemon "$n"
done
for n in 1 2 3 4; do
    start_daemon "$n"
done
wait_ready 1 2 3 4
for n in 1 2 3 4; do
    [ "$(operate "$n" history --json | jq -c '[.versions[] | [.version, .digest, .change_id]]')" = "$before" ] \
        || fail "the history at daemon $n changed by a restart of everything"
    withdrawn "$n" || fail "daemon $n takes a withdrawn key after its restart"
done
say "after a restart of everything the configuration is the same"
