# Crowds of clients outside the limits against one process; sourced after fleet.sh by the tests of such clients.
CROWD=${CROWD:-$FLEET_BIN/test/system/crowd}
# Connections of each crowd, and the longest body; the settings of the processes allow as much.
CROWD_SIZE=${CROWD_SIZE:-120}
CROWD_BODY=1048576
# The memory of the machine, which no process may exceed, and descriptors beside those of the crowd.
MEMORY_MIB=96
SPARE_DESCRIPTORS=150
# WAY:CONNECTIONS for a crowd of another size.
WAYS="${WAYS:-whole pieces chunks tiny announced-over sent-over}"

lives() {
    kill -0 "$1" 2>/dev/null
}

# peak_mib PID: the most physical memory that it ever used.
peak_mib() {
    awk '/VmHWM/ {print int($2 / 1024)}' "/proc/$1/status"
}

descriptors() {
    find "/proc/$1/fd" -mindepth 1 2>/dev/null | wc -l
}

few_descriptors() {
    [ "$(descriptors "$1")" -le "$SPARE_DESCRIPTORS" ]
}

# crowds PID IP PORT COMMAND HEAD_LINE...: plays each way in turn; the command is an ordinary request that must succeed
# while the crowd is connected.
crowds() {
    local pid=$1 ip=$2 port=$3 command=$4 way size crowd peak open
    shift 4
    for way in $WAYS; do
        size=$CROWD_SIZE
        if [[ $way == *:* ]]; then
            size=${way#*:}
            way=${way%%:*}
        fi
        : >"$FLEET_DIR/crowd.log"
        "$CROWD" "$ip" "$port" "$way" "$size" "$CROWD_BODY" "$@" >>"$FLEET_DIR/crowd.log" 2>&1 &
        crowd=$!
        FLEET_PIDS+=("$crowd")
        eventually 60 grep -q ready "$FLEET_DIR/crowd.log" || fail "the crowd is not connected: $way"
        eventually 30 "$command" || fail "an ordinary request is not answered beside the crowd: $way"
        lives "$pid" || fail "the process ended: $way"
        open=$(descriptors "$pid")
        [ "$open" -le $((size + SPARE_DESCRIPTORS)) ] || fail "$open descriptors are open: $way"
        kill -KILL "$crowd" 2>/dev/null || true
        wait "$crowd" 2>/dev/null || true
        eventually 30 few_descriptors "$pid" || fail "descriptors stay open after the crowd: $way"
        peak=$(peak_mib "$pid")
        say "$way: $(cat "$FLEET_DIR/crowd.log"), $open descriptors, $peak MiB at the peak"
        [ "$peak" -le "$MEMORY_MIB" ] || fail "$peak MiB were used on a machine of $MEMORY_MIB: $way"
    done
    eventually 30 "$command" || fail "an ordinary request is not answered after the crowds"
}
