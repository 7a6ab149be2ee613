#!/usr/bin/env bash
# An evacuated data centre gets no more requests once the bound has passed, also after all control processes were killed
# and an entry has started anew; bad calls are refused, repeated ones are accepted, and the end brings its upstreams back.
ENTRIES="1 2"
source "$(dirname "$0")/relayfleet.sh"

# From the acknowledgement to the last request, as the operators state it.
BOUND_S=5

# evacuate CALL DATA_CENTRE [CONTROL]: prints the status.
evacuate() {
    curl -s -m 2 -o /dev/null -w '%{http_code}' -X POST "$(control "${3:-1}")/Evacuation.$1/$2" || true
}

acknowledged() {
    [ "$(evacuate "$@")" = 200 ]
}

arrivals() {
    grep -c "event=request" "$FLEET_DIR/upstream$1.log" || true
}

# send: requests to both entries; every one has to be answered.
send() {
    local n
    for n in $(seq 1 30); do
        [ "$(status_of $((n % 2 + 1)) /again/whole)" = 200 ] || fail "a request is not served: $1"
    done
}

# gets_none UPSTREAM WHEN
gets_none() {
    local before
    before=$(arrivals "$1")
    send "$2"
    [ "$(arrivals "$1")" = "$before" ] || fail "an evacuated upstream gets requests: $2"
}

gets_some() {
    local before
    before=$(arrivals "$1")
    send "after the end"
    [ "$(arrivals "$1")" -gt "$before" ]
}

start_relays
eventually 20 gets_some 1 || fail "upstream 1 gets no requests"

[ "$(evacuate Begin nowhere)" = 400 ] || fail "an unknown data centre is not refused"
eventually 10 acknowledged Finish dc1 || fail "the end of what never began is not accepted"
eventually 10 acknowledged Begin dc1 || fail "an evacuation is not accepted"
eventually 10 acknowledged Begin dc1 2 || fail "a repeated evacuation is not accepted"
sleep "$BOUND_S"
gets_none 1 "after the bound"
say "an evacuated data centre gets no requests"

for n in 1 2 3; do
    kill -KILL "$(pid control "$n")"
done
kill -KILL "$(pid entry 2)"
for n in 1 2 3; do
    wait "$(pid control "$n")" 2>/dev/null || true
    start control "$n" "$(control_ip "$n")"
done
wait "$(pid entry 2)" 2>/dev/null || true
start entry 2 "$(entry_ip 2)"
eventually 30 served 2 || fail "the entry does not serve after its start"
gets_none 1 "after a kill of all control processes and the start of an entry"
say "the evacuation outlives all control processes"

eventually 10 acknowledged Begin dc2 || fail "a second evacuation is not accepted"
refused() {
    [ "$(status_of 1 /again/whole)" = 503 ]
}
eventually 10 refused || fail "a request without an upstream is not refused"
eventually 10 acknowledged Finish dc2 || fail "the end of the second evacuation is not accepted"
eventually 10 acknowledged Finish dc1 || fail "the end of an evacuation is not accepted"
eventually 10 served 1 || fail "entry 1 does not serve after the end"
eventually 10 served 2 || fail "entry 2 does not serve after the end"
eventually 20 gets_some 1 || fail "the upstreams of a data centre get no requests after the end of its evacuation"
say "the data centre serves again after the end of its evacuation"
