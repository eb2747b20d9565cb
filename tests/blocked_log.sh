#!/usr/bin/env bash
# No process reads the standard output of an entry host. The host still serves all requests, its memory does not grow, and it
# stops in time.
set -euo pipefail
. scripts/processes.sh
site=127.0.7 platform=127.0.7.100:19500

start platform build/standin/standin-platform $platform
wait_for_url "http://$platform/admin/fault?Down=0"
curl -fs -X PUT "http://$platform/admin/key?Key=op%2Fconfig" --data-binary '{"Version":1,"Routes":[
  {"Name":"write","Host":"soak.example","PathPrefix":"/write/","Kind":"non_idempotent","TimeoutMs":3000,"Service":"app"},
  {"Name":"read","Host":"soak.example","PathPrefix":"/read/","Kind":"idempotent","TimeoutMs":3000,"Service":"app"},
  {"Name":"talk","Host":"soak.example","PathPrefix":"/talk/","Kind":"stream","TimeoutMs":3000,"Service":"app"}],
  "Services":[{"Name":"app"}],"Tenants":[{"Name":"club","ApiKeys":["key"]}]}'
: >"$work/runs"
for i in 1 2; do
  start "server-$i" build/standin/standin-platform-server "i-$i" "$site.10$i:19501" --platform=$platform --service=app \
    --zone=a --runs="$work/runs"
done
cat >"$work/host.toml" <<END
host = "host-1"
availability_zone = "a"
listen = "$site.1:18080"
readiness_listen = "$site.1:18081"
peer_listen = "$site.1:17000"
store = "$platform"
stop_notice_s = 4
END
# Opened for reading and writing, so that the host can open it for writing, and never read.
mkfifo "$work/unread"
exec 3<>"$work/unread"
build/cmd/trefoil-gateway "$work/host.toml" >&3 2>&1 &
echo $! >"$work/host.pid"
disown
started+=(host)
wait_for_url "http://$site.1:18081/"
sleep 1

memory() { awk '/VmRSS/ { print $2 }' "/proc/$(pid_of host)/status"; }
before=$(memory)
build/tests/soak/soak-client --seconds=8 --seed=1 "$site.1:18080" >"$work/results"
after=$(memory)
stopped_at=$SECONDS
kill -TERM "$(pid_of host)"
while kill -0 "$(pid_of host)" 2>/dev/null; do
  [ $((SECONDS - stopped_at)) -lt 8 ] || { echo "the host did not stop within twice its stop notice"; exit 1; }
  sleep 0.1
done

awk -v before="$before" -v after="$after" '
  { all++; if ($3 == 200 && $4 == "true" && $5 == "true") served++ }
  END {
    printf "%d requests, %d served, memory %d kB before and %d kB after\n", all, served, before, after
    # A log line has about 300 bytes and the pipe holds 64 kB, so more than 400 requests fill it.
    exit !(all > 400 && served == all && after < before + 8192)
  }' "$work/results"
