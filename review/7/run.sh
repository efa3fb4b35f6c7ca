#!/bin/sh
# Plays this case from the project's root and writes record.txt beside this file. Exits with 1 if the
# rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
PIDS=$(mktemp) || exit 2
export PIDS
# The case ends its processes itself; the list is for a case that is ended from outside.
trap 'kill -9 $(cat "$PIDS") 2>/dev/null; rm -rf "$PIDS" "${TMPDIR:-/tmp}/review-2-$case_pid"; exit 2' INT TERM
target/review-2/cases all-backends "$here/record.txt" &
case_pid=$!
echo "$case_pid" >>"$PIDS"
wait "$case_pid"
status=$?
rm -f "$PIDS"
[ "$status" -le 1 ] || status=2
exit "$status"
