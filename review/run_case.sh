#!/usr/bin/env bash
# Runs the program of one case: run_case.sh NUMBER. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run or was stopped.
cd "$(dirname "$0")/.." || exit 2
program=target/review/case_$1
for needed in "$program" target/services/parsleyquay-gateway; do
  if [ ! -x "$needed" ]; then
    echo "$needed is missing: run the deploy file's build and review/build.sh" >&2
    exit 2
  fi
done
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
# The processes that the program starts end with it, also if it is killed.
timeout --signal=KILL 110 "$program" "$PWD" "$PWD/review/$1" "$work" &
child=$!
trap 'kill "$child"; wait "$child"; exit 2' TERM INT HUP
wait "$child"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
