#!/usr/bin/env bash
# What one entry host adds to the stand-in engine asked directly, side by side in one run, and its processor
# time and memory with 1,000 open streams. Usage: bench/overhead.sh [STREAMS] (default 1000)
set -euo pipefail
cd "$(dirname "$0")/.."
streams=${1:-1000}
work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT
start() { "$@" >>"$work/log" 2>&1 & pids+=($!); }
wait_for() { for _ in $(seq 200); do curl -fs -o /dev/null "$1" && return 0; sleep 0.1; done; return 1; }

host=127.0.2.1:18090
store=127.0.0.1:19090
start build/standin/standin-store $store
for i in 1 2; do
  start build/standin/standin-engine "engine-$i" "127.0.0.1:1919$i" --first-token-ms=20 --token-ms=50
done
wait_for "http://$store/v1/list?prefix=none"
digest=$(printf demo | sha256sum | cut -d' ' -f1)
sed -e "s/@CREDENTIAL_SHA256@/$digest/" -e 's/:1910/:1919/' demo/rules.toml >"$work/rules.toml"
build/cmd/trefoilctl put "$work/rules.toml" --store=$store
sed -e "s/127.0.1.1:18080/$host/" -e 's/127.0.1.1:17000/127.0.2.1:17090/' -e "s/127.0.0.1:19000/$store/" \
  -e 's/most_connections.*//' demo/host-1.toml >"$work/host.toml"
printf 'log_level = "warning"\n' >>"$work/host.toml"
start build/cmd/trefoild "$work/host.toml"
wait_for "http://$host/readyz"
metric() { curl -s "http://$host/metrics" | awk -v name="$1" '$1 == name { print $2 }'; }

run() { build/bench/trefoil-load rules "$@" --credential=demo --tokens=100; }
echo "one stream, directly:  $(run 127.0.0.1:19191 127.0.0.1:19192 --streams=1 --requests=10)"
echo "one stream, by host:   $(run $host --streams=1 --requests=10)"
echo "$streams streams, directly: $(run 127.0.0.1:19191 127.0.0.1:19192 --streams="$streams" --requests="$((streams * 2))")"
cpu=$(metric process_cpu_seconds_total)
began=$(date +%s.%N)
run $host --streams="$streams" --requests="$((streams * 2))" >"$work/load" &
load=$!
sleep 3
echo "memory with $streams open streams: $(metric process_resident_memory_bytes) bytes"
wait $load || echo "some answers were broken"
echo "$streams streams, by host:  $(cat "$work/load")"
echo "processor time: $(metric process_cpu_seconds_total) - $cpu s in $(echo "$(date +%s.%N) - $began" | bc) s"
