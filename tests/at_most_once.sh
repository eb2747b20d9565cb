#!/usr/bin/env bash
# Whole processes: callers send each non-idempotent request at several entry hosts, while one host is killed,
# one is frozen and thawed, and the store is out for a while. No request may run twice.
set -euo pipefail
work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

start() { # start NAME PROGRAM ARGUMENTS...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

wait_for() { # wait_for URL: until it answers 200
  for _ in $(seq 300); do
    if curl -fs -m 5 -o /dev/null "$1"; then return 0; fi
    sleep 0.1
  done
  echo "no answer from $1" >&2
  cat "$work"/*.log >&2
  return 1
}

store=127.0.12.21:19000
app=127.0.12.21:19201
credential=test-credential
start store build/standin/standin-store $store
start app build/standin/standin-plain-service app-1 $app --delay-ms=100
wait_for "http://$store/admin/counts"
sed -e "s/@CREDENTIAL_SHA256@/$(printf %s $credential | sha256sum | cut -d' ' -f1)/" \
  -e "s/127.0.0.1:19201/$app/" demo/results.toml >"$work/results.toml"
build/cmd/trefoilctl put "$work/results.toml" --store=$store >/dev/null
for host in 1 2 3; do
  cat >"$work/host-$host.toml" <<SETTINGS
host = "host-$host"
availability_zone = "zone-a"
listen = "127.0.12.2$host:18080"
peer_listen = "127.0.12.2$host:17000"
store = "$store"
seeds = ["127.0.12.21:17000"]
cluster_secret = "a secret of the test"
idle_connection_ms = 500
SETTINGS
  start "host-$host" build/cmd/trefoild "$work/host-$host.toml"
done
host_pids=("${pids[@]: -3}")
for host in 1 2 3; do wait_for "http://127.0.12.2$host:18080/readyz"; done

send() { # send KEY BODY HOST SECONDS: prints the verdict, nothing if no answer came in time
  curl -s -m "$4" -o /dev/null -D - -X POST "http://127.0.12.2$3:18080/results/record" \
    -H "Authorization: Bearer $credential" -H "Idempotency-Key: $1" -d "$2" |
    sed -n 's/^X-Trefoil-Verdict: //p' | tr -d '\r'
}

caller() { # caller NUMBER: sends each request until it is told "ran", six times at most, the first time impatiently
  for number in $(seq 8); do
    key="$(date +%s)-caller-$1-$number"
    for sending in $(seq 6); do
      patience=$([ "$sending" = 1 ] && echo 0.08 || echo 4)
      verdict=$(send "$key" "caller-$1-result-$number" $(((sending + $1 + number) % 3 + 1)) "$patience") || true
      echo "caller-$1-result-$number ${verdict:-none}" >>"$work/told-$1"
      if [ "$verdict" = ran ]; then break; fi
      if [ "$sending" != 1 ]; then sleep 0.2; fi
    done
  done
}

callers=()
for number in 1 2 3 4; do
  caller $number &
  callers+=($!)
done
sleep 0.5
kill -STOP "${host_pids[1]}"
sleep 1
kill -9 "${host_pids[0]}"
kill -CONT "${host_pids[1]}"
sleep 0.5
curl -s -X POST "http://$store/admin/fault?down=1" >/dev/null
sleep 1
curl -s -X POST "http://$store/admin/fault?lost_answers_percent=20&stale_reads_percent=20" >/dev/null
for pid in "${callers[@]}"; do wait "$pid"; done

curl -s "http://$app/history" | grep -o 'caller-[0-9]*-result-[0-9]*' | sort >"$work/ran"
echo "$(wc -l <"$work/ran") of 32 requests ran, $(cat "$work"/told-* | wc -l) sendings, told:" \
  "$(cut -d' ' -f2 "$work"/told-* | sort | uniq -c | tr '\n' ' ')"
if [ -n "$(uniq -d "$work/ran")" ]; then
  echo "ran twice: $(uniq -d "$work/ran")"
  exit 1
fi
sort -u "$work"/told-* | sed -n 's/ ran$//p' >"$work/told-ran"
if [ -n "$(comm -13 "$work/ran" "$work/told-ran")" ]; then
  echo "told ran and did not: $(comm -13 "$work/ran" "$work/told-ran")"
  exit 1
fi
[ "$(wc -l <"$work/ran")" -ge 16 ]
