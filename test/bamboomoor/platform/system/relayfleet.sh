# Starts two unruly upstreams, three control daemons and the entries of ENTRIES, each with an address of its own, and talks
# to them; sourced by the system tests of the relayed path.
source "$(dirname "${BASH_SOURCE[0]}")/../../../system/fleet.sh"

UNRULY=$FLEET_BIN/test/bamboomoor/platform/system/unruly_upstream
ENTRIES=${ENTRIES:-"1 2 3"}

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
        if [ -n "${FORWARDING:-}" ]; then
            printf 'forward_listen = "%s:%d"\n' "$3" "$((FLEET_PORT + 3))"
        fi
    else
        printf 'data_folder = "%s/data%d"\nbootstrap = true\n' "$FLEET_DIR" "$2"
        printf '[[known_data_centre]]\nname = "dc%d"\n' 1 2
    fi
    for n in 1 2 3; do
        printf '[[seed]]\naddress = "%s:%d"\n' "$(control_ip "$n")" "$FLEET_PORT"
    done
    printf '[upstreams]\nlease_ms = 5000\n'
    printf '%s\n' "${MEMORY_SETTINGS:-}"
    if [ "$1" = entry ]; then
        printf '[entry]\nthreads = 1\ndrain_notice_ms = 1000\ndrain_limit_ms = 15000\n%s\n' "${ENTRY_SETTINGS:-}"
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
    printf "$route" stream stream streaming 9000 1 "${RESUMABLE:-false}"
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

# announce: keeps the two upstreams announced, until the test ends; the file "software" holds their version and start.
announce() {
    local n sequence version born
    printf 'v1 1000\n' >"$FLEET_DIR/software"
    for sequence in $(seq 1 300); do
        read -r version born <"$FLEET_DIR/software"
        for n in 1 2; do
            curl -s -m 1 -o /dev/null -X POST -H 'Content-Type: application/json' "$(control "$((sequence % 3 + 1))")/Instances.Heartbeat/u$n" \
                -d "{\"service\":\"svc\",\"address\":\"$(upstream_ip "$n"):$FLEET_PORT\",\"zone\":\"dc$n\",\"version\":\"$version\",
                    \"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":$born,\"sequence\":$sequence}" || true
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

accepted() {
    [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -d "$(manifest)" "$(control 1)/Config.Replace")" = 200 ]
}

# start_relays: returns once every entry serves.
start_relays() {
    local n
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
    eventually 30 accepted || fail "the manifest is not accepted"
    announce &
    FLEET_PIDS+=($!)
    for n in $ENTRIES; do
        eventually 30 served "$n" || fail "entry $n does not serve"
    done
}
