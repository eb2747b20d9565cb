#!/usr/bin/env bash
# Under load, the move to a slow version is rolled back and the reason is recorded. With "good" as argument, the share of a
# good version then rises to 100 percent although the lease holder of the duty is killed and the store is paused meanwhile.
set -euo pipefail
. scripts/processes.sh
net=${TREFOIL_TEST_NET:-127.0.5}
store=$net.100:19300

start store build/standin/standin-store $store
start_engine() { # start_engine NAME LAST-OCTET TOKEN-MS
  start "$1" build/standin/standin-engine "$1" "$net.$2:19311" --token-ms="$3"
}
start_engine old-1 101 5
start_engine old-2 102 5
start_engine slow-1 103 15
start_engine slow-2 104 15
start_engine good-1 105 5
start_engine good-2 106 5

server() { # server NAME LAST-OCTET VERSION
  printf '[[backend_server]]\nserver = "%s"\nendpoint = "%s:19311"\n' "$1" "$net.$2"
  printf 'availability_zone = "zone-a"\nversion = "%s"\n' "$3"
}
put_document() { # put_document NEW-VERSION SECONDS V1-PERCENT: sets the share of v1, and of a new version to 100 within the seconds
  {
    printf 'service = "rules"\n[[version]]\nversion = "v1"\nshare_percent = %s\n' "$3"
    if [ -n "$1" ]; then
      printf '[[version]]\nversion = "%s"\nshare_percent = 100\nmove_by = %s\n' "$1" \
        "$(date -u -d "+$2 seconds" +%Y-%m-%dT%H:%M:%SZ)"
    fi
    printf '[[account]]\naccount = "directors"\ncredential_sha256 = "%s"\n' "$(sha256_of secret)"
    server old-1 101 v1
    server old-2 102 v1
    server slow-1 103 slow
    server slow-2 104 slow
    server good-1 105 good
    server good-2 106 good
  } >"$work/rules.toml"
  build/cmd/trefoilctl put "$work/rules.toml" --store=$store
}
phase() { # phase VERSION PHASE: succeeds if the records show this phase and version
  build/cmd/trefoilctl moves rules --store=$store >"$work/moves" 2>&1 || return 1
  grep -q "\"phase\": \"$2\"" "$work/moves" && grep -q "\"version\": \"$1\"" "$work/moves"
}
wait_for_phase() { # wait_for_phase VERSION PHASE SECONDS
  local _
  for _ in $(seq "$3"); do
    if phase "$1" "$2"; then return 0; fi
    sleep 1
  done
  echo "version $1 did not reach phase $2" >&2
  cat "$work/moves" >&2
  tail -n 5 "$work"/host-*.log >&2
  return 1
}
holder() { # prints the name of the host that holds the lease of the duty
  curl -fs "http://$store/v1/kv/duties/rules" | grep -o 'host-[123]' | head -1
}

wait_for_url "http://$store/v1/list?prefix=none"
put_document "" 0 100
for i in 1 2 3; do
  host_settings "host-$i" zone-a "$net.$i" $store "$net.1:17000"
  start "host-$i" build/cmd/trefoild "$work/host-$i.toml"
done
for i in 1 2 3; do wait_for_url "http://$net.$i:18080/readyz"; done
start load build/bench/trefoil-load rules "$net.1:18080" "$net.2:18080" "$net.3:18080" --credential=secret \
  --streams=12 --requests=1000000 --tokens=5
wait_for_phase "" steady 60

echo "== a slow version"
put_document slow 120 0
wait_for_phase slow withdrawn 120
sed -n '/"ended"/,/\]/p' "$work/moves"
[ "${1:-}" = good ] || exit 0

echo "== a good version while the lease holder is killed and the store is paused"
put_document good 150 0
wait_for_phase good moving 60
sleep 10
victim=$(holder)
echo "killing $victim"
kill -9 "$(pid_of "$victim")"
sleep 5
kill -STOP "$(pid_of store)"
sleep 8
kill -CONT "$(pid_of store)"
wait_for_phase good "done" 200
echo "lease holder now: $(holder)"
sed -n '/"ended"/,/\]/p' "$work/moves"
