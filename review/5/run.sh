#!/usr/bin/env bash
# The answer of one write to the store is lost and the write is executed late; later a bad version comes.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout 115 review/out/rollout "$here/record.txt" holder
status=$?
[ $status -le 1 ] || exit 2
exit $status
