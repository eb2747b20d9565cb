#!/usr/bin/env bash
# Runs the case, which writes record.txt beside this script. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=build/review-2/case-10
record=review/10/record.txt
if [ ! -x "$program" ] || [ ! -x target/cmd/trefoil-gateway ]; then
  echo "build target/ and run review/build-2.sh first" >&2
  exit 2
fi
REVIEW_FOLDER=$(mktemp -d) || exit 2
export REVIEW_FOLDER
trap 'rm -rf "$REVIEW_FOLDER"' EXIT
# A record of an earlier run must not pass for one of this run.
rm -f "$record"
timeout --kill-after=5 110 "$program"
status=$?
[ -s "$record" ] || exit 2
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
