#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out. The program must be built, and review/build-2.sh must have run.
cd "$(dirname "$0")" || exit 2
PIDS=$(mktemp) || exit 2
export PIDS
timeout --kill-after=5 115 python3 -B case.py &
case=$!
trap 'kill "$case"' TERM INT
code=0
wait "$case" || code=$?
# A signal to this script ends the wait before the case.
while kill -0 "$case" 2>/dev/null; do
    wait "$case" || code=$?
done
# The case ends its processes itself, unless it was killed.
while read -r pid; do
    program=$(readlink "/proc/$pid/exe" 2>/dev/null)
    if [ "${program##*/}" = pimentochute ]; then
        kill -9 "$pid"
    fi
done <"$PIDS"
rm -f "$PIDS"
[ "$code" -le 1 ] || code=2
exit "$code"
