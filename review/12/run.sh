#!/bin/sh
# Starts hosts and stand-ins; see claim.txt. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/pistachio-node ] && [ -x target/review-standin-3 ] || exit 2
set -m
target/review-standin-3 still-host review/12/record.txt &
group=$!
# The hosts are in the same process group, also if the script is stopped.
trap 'kill -KILL -- "-$group" 2>/dev/null; exit 2' HUP INT TERM
wait "$group"
