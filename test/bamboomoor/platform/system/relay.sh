#!/usr/bin/env bash
# Relayed requests through real entries and control daemons, against upstreams that answer in broken ways, name a limit,
# leave, or close themselves; and a planned stop of an entry under load.
source "$(dirname "$0")/../../../system/fleet.sh"

UNRULY=$FLEET_BIN/test/bamboomoor/platform/system/unruly_upstream
ENTRIES="1 2 3"

# Every process has a loopback address of its own, as all use the same ports.
control_ip() { printf '127.0.21.%d' "$1"; }
entry_ip() { printf '127.0.31.%d' "$1"; }
upstream_ip() { printf '127.0.41.%d' "$1"; }
front() { printf 'http://%s:%d' "$(entry_ip "$1")" "$FLEET_PORT"; }
control() { printf 'http://%s:%d' "$(control_ip "$1")" "$FLEET_PORT"; }
upstream() { printf 'http://%s:%d' "$(upstream_ip "$1")" "$FLEET_PORT"; }

# settings ROLE N IP
settings() {
    printf 'vm = "%s-%d"\ndata_centre = "dc%d"\nregion = "r"\nlisten = "%s:%d"\npeer_listen = "%s:%d"\n' \
        "$1" "$2" "$2" "$3" "$FLEET_PORT" "$3" "$((FLEET_PORT + 1))"
    if [ "$1" = entry ]; then
        printf 'readiness_listen = "%s:%d"\n' "$3" "$((FLEET_PORT + 2))"
    else
        printf 'data_folder = "%s/data%d"\nbootstrap = true\n' "$FLEET_DIR" "$2"
    fi
    for n in 1 2 3; do
        printf '[[seed]]\naddress = "%s:%d"\n' "$(control_ip "$n")" "$FLEET_PORT"
    done
    printf '[upstreams]\nlease_ms = 5000\n'
    if [ "$1" = entry ]; then
        printf '[entry]\nthreads = 1\ndrain_notice_ms = 1000\ndrain_limit_ms = 15000\n'
        printf '[relay]\nserves_when_cut_off = true\nretry_ratio = 1.0\n'
    fi
}

# start ROLE N IP: sets PID_ROLE_N.
start() {
    settings "$1" "$2" "$3" >"$FLEET_DIR/$1$2.toml"
    "$BAMBOOMOOR" "$1" --settings "$FLEET_DIR/$1$2.toml" >>"$FLEET_DIR/$1$2.log" 2>&1 &
    FLEET_PIDS+=($!)
    printf -v "PID_$1_$2" '%d' $!
}

pid() {
    local name=PID_$1_$2
    printf '%s' "${!name}"
}

manifest() {
    local route='{"name":"%s","host":"h.example","path_prefix":"/%s/","kind":"%s","timeout_ms":%d,"target_latency_ms":800,
        "priority":1,"service":"svc","max_attempts":%d,"public":true,"sticky":false,"resumable":%s,"target_gap_ms":800}'
    printf '{"version":1,"services":[{"name":"svc","health_path":"/healthz","max_connections":400,"protocol":"h1","tls":false}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"routes":['
    printf "$route," again again idempotent 3000 2 false
    printf "$route," once once non_idempotent 3000 1 false
    printf "$route" stream stream streaming 9000 1 false
    printf ']}'
}

# odd_heartbeat N: what another writer leaves beside the heartbeats of upstreams; none of it names an upstream to use.
odd_heartbeat() {
    local id=odd$1 address more='' deep long
    address=$(upstream_ip 1):$FLEET_PORT
    deep=$(printf '[%.0s' $(seq 1 20000))
    long=$(printf 'x%.0s' $(seq 1 300))
    case $(($1 % 7)) in
        0) id=$long ;;
        1) more=',"models":[],"pending":["/a@1"]' ;;
        2) more=",\"x\":$deep" ;;
        3) address=$(upstream_ip 1):65536 ;;
        4) more=',"born":1e400' ;;
        5) more=",\"models\":[{\"name\":\"$long\"}]" ;;
        6) id=$(printf 'odd\377') ;;
    esac
    curl -s -m 1 -o /dev/null -X POST -H 'Content-Type: application/json' "$(control "$(($1 % 3 + 1))")/Instances.Heartbeat/$id" \
        -d "{\"service\":\"svc\",\"address\":\"$address\",\"zone\":\"dc1\",\"state\":\"ready\",\"sequence\":1$more}" || true
}

# announce: keeps the two upstreams announced, until the test ends.
announce() {
    local n sequence
    for sequence in $(seq 1 300); do
        for n in 1 2; do
            curl -s -m 1 -o /dev/null -X POST -H 'Content-Type: application/json' "$(control "$((sequence % 3 + 1))")/Instances.Heartbeat/u$n" \
                -d "{\"service\":\"svc\",\"address\":\"$(upstream_ip "$n"):$FLEET_PORT\",\"zone\":\"dc$n\",\"version\":\"v1\",
                    \"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":1000,\"sequence\":$sequence}" || true
        done
        odd_heartbeat "$sequence"
        sleep 0.7
    done
}

# ask ENTRY PATH [CURL ARGUMENT...]: a request with an id of its own; prints the answer.
ask() {
    local n=$1 path=$2
    shift 2
    curl -s -m 15 -H 'Host: h.example' -H "X-Attempt-Id: ${ID:-r$RANDOM$RANDOM}" "$@" "$(front "$n")$path"
}

status_of() {
    ask "$1" "$2" -o /dev/null -w '%{http_code}' || true
}

served() {
    [ "$(status_of "$1" /again/whole)" = 200 ]
}

# say_at UPSTREAM LINE: all later answers carry the header line; none when it is empty.
say_at() {
    printf '%s' "${2:+$2$'\r\n'}" | curl -s -m 5 --data-binary @- "$(upstream "$1")/say"
}

arrived_at() {
    curl -s -m 5 "$(upstream "$1")/stats" | sed -n 's/^all //p'
}

for n in 1 2; do
    "$UNRULY" "$(upstream_ip "$n")" "$FLEET_PORT" >>"$FLEET_DIR/upstream$n.log" 2>&1 &
    FLEET_PIDS+=($!)
done
for n in 1 2 3; do
    start control "$n" "$(control_ip "$n")"
done
for n in $ENTRIES; do
    start entry "$n" "$(entry_ip "$n")"
done
accepted() {
    [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -d "$(manifest)" "$(control 1)/Config.Replace")" = 200 ]
}
eventually 30 accepted || fail "the manifest is not accepted"
announce &
FLEET_PIDS+=($!)
for n in $ENTRIES; do
    eventually 30 served "$n" || fail "entry $n does not serve"
done
say "three entries relay to two upstreams"

# Broken answers: none looks complete, none takes the entry down, and memory stays bounded.
for answer in half garbage reset endless-head endless-line endless-body; do
    code=$(status_of 1 "/again/$answer")
    [ "$code" -ge 500 ] || fail "the answer '$answer' reached the caller as $code"
done
for answer in half-chunked endless-event endless-chunk-size; do
    if ask 1 "/stream/$answer" -o "$FLEET_DIR/body" -w '%{http_code}' >"$FLEET_DIR/code"; then
        [ "$(tail -c 3 "$FLEET_DIR/code")" -ge 500 ] || fail "the stream '$answer' reached the caller as a whole one"
    fi
done
kill -0 "$(pid entry 1)" || fail "an answer took the entry down"
rss_kb=$(awk '/^VmRSS/ {print $2}' "/proc/$(pid entry 1)/status")
[ "$rss_kb" -lt 150000 ] || fail "the entry holds $rss_kb kB after answers without end"
say "broken and endless answers end as failures; the entry holds $rss_kb kB"

# A second copy of an answer, late, on a kept connection.
for k in $(seq 1 30); do
    ID=first$k ask 1 /again/twice-late >/dev/null
    sleep 0.0$((k % 10))
    body=$(ID=second$k ask 1 /again/whole) || fail "the call after a doubled answer was cut"
    [ "$body" = "whole answer of second$k" ] || fail "a caller got the answer of another request: $body"
done
say "a second copy of an answer reaches nobody"

# Slow but sound streams last, stalled ones end.
ask 1 /stream/slow-stream >"$FLEET_DIR/slow" || fail "a slow stream was cut"
[ "$(grep -c '^data: ' "$FLEET_DIR/slow")" = 10 ] || fail "a slow stream has not all its events"
began=$SECONDS
if ask 1 /stream/dripping-stream -o /dev/null; then
    fail "a stalled stream reached the caller as a whole one"
fi
[ $((SECONDS - began)) -le 11 ] || fail "a stalled stream went on beyond its route's timeout"
say "a slow stream is whole, a stalled one ends"

# load SECONDS: calls of three entries, one after the other at each; prints the statuses.
load() {
    local n pids=() end=$((SECONDS + $1))
    for n in $ENTRIES; do
        while [ "$SECONDS" -lt "$end" ]; do
            status_of "$n" /again/whole
            printf '\n'
        done >"$FLEET_DIR/load$n" &
        pids+=($!)
    done
    wait "${pids[@]}"
    cat "$FLEET_DIR"/load[123]
}

# A limit of all entries together: half as much again and 5 in 4 s, from 3 s after the first naming.
say_at 1 'Server-Limit: 1.5'
load 4 >/dev/null
before=$(arrived_at 1)
load 8 >"$FLEET_DIR/statuses"
arrived=$(($(arrived_at 1) - before))
answered=$(grep -c '^200$' "$FLEET_DIR/statuses")
[ "$arrived" -le 23 ] || fail "an upstream that takes 1.5 a second got $arrived requests in 8 s"
[ "$arrived" -ge 3 ] || fail "an upstream that takes 1.5 a second got only $arrived requests in 8 s"
[ "$answered" -ge 100 ] && [ "$(grep -vc '^200$' "$FLEET_DIR/statuses")" = 0 ] ||
    fail "callers were not served beside a limited upstream: $(sort "$FLEET_DIR/statuses" | uniq -c | tr '\n' ' ')"
say "an upstream that takes 1.5 a second got $arrived requests in 8 s, $answered callers were served"
say_at 1 ''
load 4 >/dev/null
before=$(arrived_at 1)
load 2 >/dev/null
[ $(($(arrived_at 1) - before)) -ge 10 ] || fail "an upstream that names no limit any more is not used again"

# An upstream that leaves gets nothing more.
say_at 1 'Server-Leaving: 1'
load 3 >/dev/null
before=$(arrived_at 1)
load 3 >"$FLEET_DIR/statuses"
[ "$(arrived_at 1)" = "$before" ] || fail "an upstream that leaves got requests"
[ "$(grep -vc '^200$' "$FLEET_DIR/statuses")" = 0 ] || fail "callers were not served beside an upstream that leaves"
say "an upstream that says that it leaves gets nothing more"

# A planned stop under load: what was accepted is answered, on new connections and on kept ones.
for k in 1 2 3 4; do
    ask 3 /stream/slow-stream >"$FLEET_DIR/stop$k" &
    stopped[k]=$!
done
sleep 1
kill -TERM "$(pid entry 3)"
while kill -0 "$(pid entry 3)" 2>/dev/null; do
    result=0
    curl -s -m 5 -o /dev/null -o /dev/null -o /dev/null -w '%{http_code}\n' -H 'Host: h.example' -H 'X-Attempt-Id: kept' \
        "$(front 3)/again/whole" "$(front 3)/again/whole" "$(front 3)/again/whole" >"$FLEET_DIR/kept" || result=$?
    # 7: nobody listens any more; everything else must have been answered.
    [ "$result" = 0 ] || [ "$result" = 7 ] || fail "a call of a stopping entry ended with curl's status $result"
    grep -qvE '^(200|503|000)$' "$FLEET_DIR/kept" && fail "a stopping entry answered $(tr '\n' ' ' <"$FLEET_DIR/kept")"
    sleep 0.05
done
for k in 1 2 3 4; do
    wait "${stopped[k]}" || fail "a stream was cut by a planned stop"
    [ "$(grep -c '^data: ' "$FLEET_DIR/stop$k")" = 10 ] || fail "a stream of a stopping entry is not whole"
done
say "a planned stop cuts nothing"

# An entry that counts as ready serves its first request.
is_ready() {
    [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' "http://$(entry_ip "$1"):$((FLEET_PORT + 2))/readyz")" = 200 ]
}
for k in 1 2 3; do
    start entry 3 "$(entry_ip 3)"
    began=$SECONDS
    until is_ready 3; do
        [ $((SECONDS - began)) -lt 30 ] || fail "an entry is not ready 30 s after its start"
    done
    code=$(status_of 3 /again/whole)
    [ "$code" = 200 ] || fail "an entry that had just become ready answered $code"
    kill -KILL "$(pid entry 3)"
    wait "$(pid entry 3)" 2>/dev/null || true
done
say "an entry that counts as ready serves"
