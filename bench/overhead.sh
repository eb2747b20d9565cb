#!/usr/bin/env bash
# Measures the latency that one entry host adds, by sending the same load to the stand-in engines directly and
# through the host in one run, and the host's processor time and memory with 1,000 open streams.
# Usage: bench/overhead.sh [STREAMS] (default 1000)
set -euo pipefail
cd "$(dirname "$0")/.."
streams=${1:-1000}
. scripts/processes.sh

host=127.0.2.1:18080
store=127.0.0.1:19090
start store build/standin/standin-store $store
for i in 1 2; do
  start "engine-$i" build/standin/standin-engine "engine-$i" "127.0.0.1:1919$i" --first-token-ms=20 --token-ms=50
done
wait_for_url "http://$store/v1/list?prefix=none"
digest=$(sha256_of demo)
sed -e "s/@CREDENTIAL_SHA256@/$digest/" -e 's/:1910/:1919/' demo/rules.toml >"$work/rules.toml"
build/cmd/trefoilctl put "$work/rules.toml" --store=$store
host_settings host zone-a "${host%:*}" $store
printf 'log_level = "warning"\n' >>"$work/host.toml"
start host build/cmd/trefoild "$work/host.toml"
wait_for_url "http://$host/readyz"
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
