#!/usr/bin/env bash
# As relaycrowd.sh, with more clients than a machine has memory for the buffers or the heads of, also at the address for
# other entries.
CROWD_SIZE=${CROWD_SIZE:-1000}
WAYS="${WAYS:-chunks long-head:2400 mixed}"
FORWARDING=1
source "$(dirname "$0")/relaycrowd.sh"
