# Starts a small fleet on loopback and talks to it; sourced by the demo and the system tests.
# FLEET_LOGS prints the ends of the logs of a failed start, FLEET_KEEP names a folder that keeps them whole.
# Ports: FLEET_PORT + n of daemon n (callers), +20+n (peers), +40.. (stand-ins).
set -euo pipefail

FLEET_PORT=${FLEET_PORT:-22000}
FLEET_BIN=${FLEET_BIN:?the folder of the build is needed}
BAMBOOMOOR=$FLEET_BIN/src/main/bamboomoor
FAKE_UPSTREAM=$FLEET_BIN/test/fakes/fake_upstream
CUT_PROXY=$FLEET_BIN/test/fakes/cut_proxy
FLEET_DIR=$(mktemp -d)
FLEET_PIDS=()
TOKEN_FILE=$FLEET_DIR/token
OPERATOR_TOKEN=operator-secret
printf '%s\n' "$OPERATOR_TOKEN" >"$TOKEN_FILE"

fleet_stop() {
    local pid status=$?
    trap - EXIT
    for pid in "${FLEET_PIDS[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    if [ "$status" -ne 0 ] && [ -n "${FLEET_LOGS:-}" ]; then
        tail -n 15 "$FLEET_DIR"/*.log >&2 || true
    fi
    if [ "$status" -ne 0 ] && [ -n "${FLEET_KEEP:-}" ]; then
        mkdir -p "$FLEET_KEEP/$FLEET_PORT"
        cp "$FLEET_DIR"/*.log "$FLEET_KEEP/$FLEET_PORT" || true
    fi
    rm -rf "$FLEET_DIR"
    exit "$status"
}
trap fleet_stop EXIT

say() {
    printf '%s\n' "$*"
}

fail() {
    say "FAILED: $*" >&2
    exit 1
}

entry() {
    printf '127.0.0.1:%d' "$((FLEET_PORT + $1))"
}

peer() {
    printf '127.0.0.1:%d' "$((FLEET_PORT + 20 + $1))"
}

# write_settings N VOTERS [BOOTSTRAP]: settings of daemon N; the first VOTERS daemons are the voters. VOTER_PEER_n
# replaces the address at which daemon N reaches voter n.
write_settings() {
    local n=$1 voters=$2 bootstrap=${3:-true} v address
    {
        printf 'vm = "vm%d"\ndata_centre = "dc%d"\nregion = "r1"\n' "$n" "$((n % 3 + 1))"
        printf 'listen = "%s"\npeer_listen = "%s"\noperator_token = "%s"\n' "$(entry "$n")" "$(peer "$n")" "$OPERATOR_TOKEN"
        if [ "$n" -le "$voters" ]; then
            printf 'data_folder = "%s/data%d"\nbootstrap = %s\n' "$FLEET_DIR" "$n" "$bootstrap"
        fi
        for v in $(seq 1 "$voters"); do
            address=VOTER_PEER_$v
            printf '[[voter]]\nname = "vm%d"\naddress = "%s"\n' "$v" "${!address:-$(peer "$v")}"
        done
        printf '[entry]\ndrain_notice_ms = 300\ndrain_limit_ms = %s\nthreads = 2\n' "${DRAIN_LIMIT_MS:-20000}"
        printf '[upstreams]\nprogress_timeout_ms = %s\n' "${PROGRESS_TIMEOUT_MS:-3000}"
        printf '%s\n' "${EXTRA_SETTINGS:-}"
    } >"$FLEET_DIR/vm$n.toml"
}

# start_daemon N: sets PID_n.
start_daemon() {
    "$BAMBOOMOOR" serve --settings "$FLEET_DIR/vm$1.toml" >>"$FLEET_DIR/vm$1.log" 2>&1 &
    FLEET_PIDS+=($!)
    printf -v "PID_$1" '%d' $!
}

pid_of() {
    local name=PID_$1
    printf '%s' "${!name}"
}

# kill_daemon N: returns once its ports are free again.
kill_daemon() {
    kill -KILL "$(pid_of "$1")"
    wait "$(pid_of "$1")" 2>/dev/null || true
}

# start_fleet DAEMONS VOTERS
start_fleet() {
    local n
    for n in $(seq 1 "$1"); do
        write_settings "$n" "$2"
    done
    for n in $(seq 1 "$1"); do
        start_daemon "$n"
    done
}

# eventually SECONDS COMMAND...: repeats the command until it succeeds.
eventually() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.1
    done
}

ready() {
    [ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' "http://$(entry "$1")/readyz")" = 200 ]
}

wait_ready() {
    local n
    for n in "$@"; do
        eventually 60 ready "$n" || fail "daemon $n is not ready"
    done
}

# operate N ARGUMENT...: an operator's command at daemon N.
operate() {
    local n=$1
    shift
    "$BAMBOOMOOR" "$@" --entry "$(entry "$n")" --token-file "$TOKEN_FILE"
}

version_at() {
    operate "$1" status --json | jq -r .status.version
}

has_version() {
    [ "$(version_at "$1")" -ge "$2" ]
}

# start_fakes NAME ARGUMENT...: announces to all daemons of FAKE_ENTRIES (numbers).
start_fakes() {
    local name=$1 entries='' n
    shift
    for n in ${FAKE_ENTRIES:-1}; do
        entries+="${entries:+,}$(entry "$n")"
    done
    "$FAKE_UPSTREAM" --entries "$entries" --id-prefix "$name" --announce-ms 500 "$@" >>"$FLEET_DIR/$name.log" 2>&1 &
    FLEET_PIDS+=($!)
    printf -v "PID_$name" '%d' $!
}

upstreams_at() {
    operate "$1" status --json | jq '.status.upstreams | length'
}

has_upstreams() {
    [ "$(upstreams_at "$1")" -ge "$2" ]
}

# chat N KEY MODEL [EXTRA_JSON]: prints the answer; sets nothing.
chat() {
    curl -s -m 60 -H "Authorization: Bearer $2" -H 'Content-Type: application/json' \
        -d "{\"model\":\"$3\",\"messages\":[{\"role\":\"user\",\"content\":\"one two three\"}],\"max_tokens\":8${4:-}}" \
        "http://$(entry "$1")/v1/chat/completions"
}

# code_of JSON: the code of a refusal, or "none".
code_of() {
    jq -r '.error.code // "none"' <<<"$1" 2>/dev/null || printf 'unreadable'
}

sha() {
    printf '%s' "$1" | sha256sum | cut -d' ' -f1
}

# write_configuration FILE: two organisations with keys key-acme and key-zenith, a model and two services.
write_configuration() {
    cat >"$1" <<TOML
[[organisation]]
name = "acme"
rate = ${ACME_RATE:-100000}
burst = ${ACME_BURST:-100000}
[[organisation.key]]
id = "main"
hash = "$(sha key-acme)"

[[organisation]]
name = "zenith"
rate = 100000
burst = 100000
[[organisation.key]]
id = "main"
hash = "$(sha key-zenith)"

[[route]]
prefix = "/registry"
upstream = "registry"
idempotent = false

[[route]]
prefix = "/public"
upstream = "registry"
open = true
idempotent = true

[[model]]
name = "clause"
memory_mib = 20000
TOML
}
