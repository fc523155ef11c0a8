#!/usr/bin/env bash
# Runs the check of one case: run_case.sh NUMBER. Exits with 1 if the rule was broken,
# 0 if it held, and 2 if the case could not run or was stopped.
cd "$(dirname "$0")/../.." || exit 2
check=target/review-3/check-$1
for needed in "$check" target/services/parsleyquay-gateway \
  target/review-3/standins/standin-store; do
  if [ ! -x "$needed" ]; then
    echo "$needed is missing: run the deploy file's build and review/build-3.sh" >&2
    exit 2
  fi
done
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
rm -f "review/$1/record.txt"
# The processes that the check starts end with it, also if it is killed.
TMPDIR=$work timeout --signal=KILL 110 "$check" &
child=$!
trap 'kill "$child"; wait "$child"; exit 2' TERM INT HUP
wait "$child"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
