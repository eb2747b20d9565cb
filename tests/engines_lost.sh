#!/usr/bin/env bash
# Story: sixty answers stream through three entry hosts. One engine is killed and another one frozen in the
# middle. Every caller still receives the whole answer.
set -euo pipefail
. scripts/processes.sh
store=127.0.0.1:19300

start store build/standin/standin-store $store
{
  printf 'service = "rules"\n[[version]]\nversion = "v1"\nshare_percent = 100\n'
  printf '[[account]]\naccount = "directors"\ncredential_sha256 = "%s"\n' "$(sha256_of secret)"
} >"$work/rules.toml"
for i in 1 2 3 4; do
  start "engine-$i" build/standin/standin-engine "engine-$i" "127.0.0.1:1931$i" --token-ms=20
  printf '[[backend_server]]\nserver = "engine-%s"\nendpoint = "127.0.0.1:1931%s"\n' $i $i >>"$work/rules.toml"
  printf 'availability_zone = "zone-a"\nversion = "v1"\n' >>"$work/rules.toml"
done
wait_for_url "http://$store/v1/list?prefix=none"
build/cmd/trefoilctl put "$work/rules.toml" --store=$store
for i in 1 2 3; do
  host_settings "host-$i" "zone-$i" "127.0.3.$i" $store 127.0.3.1:17000
  start "host-$i" build/cmd/trefoild "$work/host-$i.toml"
done
for i in 1 2 3; do wait_for_url "http://127.0.3.$i:18080/readyz"; done

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
