#!/usr/bin/env bash
# Sixty answers stream through three entry hosts. During the streams one engine is killed and another one is paused. Every
# caller must still receive its complete answer.
set -euo pipefail
. scripts/processes.sh
start_rules_site 3 4

build/bench/trefoil-load rules 127.0.3.1:18080 127.0.3.2:18080 127.0.3.3:18080 --credential=secret \
  --streams=30 --requests=60 --tokens=80 >"$work/load.out" &
load=$!
sleep 0.8
kill -9 "$(pid_of engine-1)"
kill -STOP "$(pid_of engine-2)"
if wait $load; then result=0; else result=1; fi
cat "$work/load.out"
grep -h 'failed after' "$work"/host-*.log | wc -l | sed 's/$/ attempts failed/'
exit $result
