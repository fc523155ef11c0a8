#!/usr/bin/env bash
# Runs the case, see claim.txt. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run or was stopped. TROUBLE=0 leaves the
# disruption out.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
driver=target/review-2/case-$(basename "$folder")
for needed in "$driver" target/review-2/standin-store \
  target/services/parsleyquay-gateway; do
  if [ ! -x "$needed" ]; then
    echo "$needed is missing: build the deploy file and review/build-2.sh" >&2
    exit 2
  fi
done
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR REVIEW_RECORD=$folder/record.txt
trap 'rm -rf "$TMPDIR"' EXIT
# The processes that the driver starts end with it, also if it is killed.
timeout --signal=KILL 100 "$driver" &
child=$!
trap 'kill "$child"; wait "$child"; exit 2' TERM INT HUP
wait "$child"
code=$?
tail -n 4 "$REVIEW_RECORD"
# Only the driver's own verdict counts: 1 is stated in the record too.
if [ "$code" -eq 1 ] && ! grep -q 'LOST is broken' "$REVIEW_RECORD"; then
  code=2
fi
[ "$code" -le 2 ] || code=2
exit "$code"
