#!/usr/bin/env bash
# Runs a case of the stand-ins, given by its name and folder. The case has a process group and a
# temporary folder of its own; both end with it, however it ends.
standin=target/review-3/standin-3
program=target/release/pimentochute
[ -x "$standin" ] && [ -x "$program" ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
finish() {
    [ -n "$child" ] && kill -KILL -- "-$child" 2>/dev/null
    rm -rf "$TMPDIR"
}
child=
trap 'finish; exit 2' HUP INT TERM
set -m
"$standin" "$1" "$2" "$program" &
child=$!
wait "$child"
code=$?
finish
[ "$code" -le 1 ] && exit "$code"
exit 2
