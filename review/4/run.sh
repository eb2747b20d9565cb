#!/usr/bin/env bash
# A service is moved to a good version; then all gateways are killed and start again.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout 115 review/out/rollout "$here/record.txt" restart
status=$?
[ $status -le 1 ] || exit 2
exit $status
