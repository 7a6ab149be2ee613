#!/usr/bin/env bash
# As crowd.sh, with more clients than the machine has memory for the buffers or the heads of.
CROWD_SIZE=${CROWD_SIZE:-1000}
WAYS="${WAYS:-chunks long-head:2400 mixed}"
source "$(dirname "$0")/crowd.sh"
