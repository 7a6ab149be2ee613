#!/usr/bin/env bash
# Networks that lose packets without a word: a daemon that no voter hears stops by itself and recovers, and a leader
# that is heard but does not hear (or the reverse) does not keep the rest from working.
source "$(dirname "$0")/fleet.sh"

CONTROL=127.0.0.1:$((FLEET_PORT + 60))

# Route 3 * (n - 1) + v - 1 is the way of daemon n to voter v.
way() {
    printf '127.0.0.1:%d' "$((FLEET_PORT + 60 + 3 * ($1 - 1) + $2))"
}

# cut N V UP DOWN: what daemon N and voter V say to each other on the connections that N opens.
cut_way() {
    curl -s -m 10 -d "{\"route\":$((3 * ($1 - 1) + $2 - 1)),\"up\":$3,\"down\":$4}" "http://$CONTROL/cut" >/dev/null \
        || fail "the proxy does not answer"
}

find_leader() {
    local n
    for n in "$@"; do
        if [ "$(operate "$n" status --json --timeout-ms 2000 2>/dev/null | jq -r .status.voter.role)" = leader ]; then
            LEADER=$n
            return 0
        fi
    done
    return 1
}

routes=()
for n in 1 2 3 4; do
    for v in 1 2 3; do
        routes+=("$(way "$n" "$v")=$(peer "$v")")
    done
done
"$CUT_PROXY" "$CONTROL" "${routes[@]}" >"$FLEET_DIR/proxy.log" 2>&1 &
FLEET_PIDS+=($!)
for n in 1 2 3 4; do
    for v in 1 2 3; do
        printf -v "VOTER_PEER_$v" '%s' "$(way "$n" "$v")"
    done
    write_settings "$n" 3
done
for n in 1 2 3 4; do
    start_daemon "$n"
done
wait_ready 1 2 3 4
FAKE_ENTRIES="1 2 3 4" start_fakes fake --engines 2 --services 1 --service-names registry \
    --base-port $((FLEET_PORT + 40)) --models clause:20000 --token-ms 5
write_configuration "$FLEET_DIR/deployment.toml"
eventually 30 operate 1 apply "$FLEET_DIR/deployment.toml" --author test --change-id first || fail "apply"
for n in 1 2 3 4; do
    eventually 30 has_version "$n" 1 || fail "daemon $n does not know version 1"
    eventually 30 has_upstreams "$n" 3 || fail "daemon $n does not know three upstreams"
done

served() {
    [ "$(jq -r '.choices[0].message.content' <<<"$(chat "$1" key-acme clause)" | wc -w)" = 8 ]
}
not_fresh() {
    [ "$(code_of "$(chat "$1" key-acme clause)")" = not_fresh ]
}
unready() {
    [ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' "http://$(entry "$1")/readyz")" = 503 ]
}
open_route() {
    curl -s -m 10 "http://$(entry "$1")/public/roster" | jq -e '.path == "/public/roster"'
}
withdrawn() {
    [ "$(code_of "$(chat "$1" key-zenith clause)")" = invalid_key ]
}
# accepted CHANGE_ID: applies the document, or finds that it was applied.
accepted() {
    operate 4 apply "$FLEET_DIR/deployment.toml" --author test --change-id "$1" \
        || operate 4 history --json | jq -e --arg id "$1" 'any(.versions[]; .change_id == $id)'
}
for n in 1 2 3 4; do
    eventually 30 served "$n" || fail "daemon $n does not serve"
done

# Daemon 4 hears nobody.
for v in 1 2 3; do
    cut_way 4 "$v" true true
done
eventually 20 not_fresh 4 || fail "a daemon that is cut off goes on"
curl -s -m 10 -D "$FLEET_DIR/head" -o "$FLEET_DIR/body" -H 'Authorization: Bearer key-acme' \
    -d '{"model":"clause","messages":[{"role":"user","content":"a"}],"max_tokens":8}' \
    "http://$(entry 4)/v1/chat/completions"
[ "$(jq -r '.error.code + " " + (.error.not_run | tostring)' "$FLEET_DIR/body")" = 'not_fresh true' ] \
    || fail "refusal: $(cat "$FLEET_DIR/body")"
grep -qi '^retry-after:' "$FLEET_DIR/head" || fail "a refusal without Retry-After: $(cat "$FLEET_DIR/head")"
unready 4 || fail "a daemon that is cut off is ready"
eventually 10 open_route 4 || fail "a daemon that is cut off does not serve the open route"
eventually 30 operate 1 key withdraw zenith main --change-id withdrawal --author test || fail "key withdraw"
for _ in 1 2 3 4 5; do
    [ "$(code_of "$(chat 4 key-zenith clause)")" = not_fresh ] || fail "a daemon that is cut off takes a key"
done
for n in 1 2 3; do
    eventually 20 withdrawn "$n" || fail "daemon $n still takes a withdrawn key"
    eventually 20 served "$n" || fail "daemon $n does not serve while another is cut off"
done
say "a daemon that is cut off refuses, is not ready, and serves the open route"
for v in 1 2 3; do
    cut_way 4 "$v" false false
done
wait_ready 4
eventually 20 withdrawn 4 || fail "a healed daemon does not learn of the withdrawal"
eventually 20 served 4 || fail "a healed daemon does not serve"
say "it recovers"

# The leader's words arrive nowhere, though it hears all others; then it hears no answers. Elsewhere work goes on.
for direction in 'true false' 'false true'; do
    eventually 30 find_leader 1 2 3 || fail "nobody leads"
    CUT=$LEADER
    OTHERS=()
    for v in 1 2 3; do
        if [ "$v" != "$CUT" ]; then
            OTHERS+=("$v")
            # shellcheck disable=SC2086
            cut_way "$CUT" "$v" $direction
        fi
    done
    eventually 40 find_leader "${OTHERS[@]}" || fail "nobody else leads while the leader is cut ($direction)"
    for n in "${OTHERS[@]}" 4; do
        eventually 30 served "$n" || fail "daemon $n does not serve while the leader is cut ($direction)"
    done
    change="cut-${direction// /-}"
    eventually 20 operate 4 show || fail "what is in force is not shown"
    operate 4 show | sed "s/^rate = .*/rate = $((200000 + ${#change}))/" >"$FLEET_DIR/deployment.toml"
    eventually 40 accepted "$change" || fail "$change: $(operate 4 apply "$FLEET_DIR/deployment.toml" 2>&1)"
    for v in "${OTHERS[@]}"; do
        cut_way "$CUT" "$v" false false
    done
    wait_ready 1 2 3 4
    version=$(operate 4 show --json | jq .version)
    for n in 1 2 3 4; do
        eventually 30 has_version "$n" "$version" || fail "daemon $n does not know version $version after the cut"
    done
done
say "a leader cut in one direction is replaced, and learns of the change when healed"
