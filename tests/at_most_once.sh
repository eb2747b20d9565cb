#!/usr/bin/env bash
# Runs the programs as processes. Callers send each non-idempotent request to several entry hosts while one host is
# killed, one is paused and resumed, and the store is unavailable for one second. No request may run twice.
set -Eeuo pipefail
trap 'echo "line $LINENO failed: $BASH_COMMAND" >&2' ERR
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

wait_for() { # wait_for URL: waits until it answers 200
  for _ in $(seq 300); do
    if curl -fs -m 5 -o /dev/null "$1"; then return 0; fi
    sleep 0.1
  done
  echo "no answer from $1" >&2
  cat "$work"/*.log >&2
  return 1
}

# The ports and the request bodies depend on the process id, so that this run is not mixed up with another one on the machine.
port=$((20000 + $$ % 10000))
store=127.0.12.21:$port
app=127.0.12.22:$port
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
listen = "127.0.12.3$host:$port"
peer_listen = "127.0.12.4$host:$port"
store = "$store"
seeds = ["127.0.12.41:$port"]
cluster_secret = "a secret of the test"
idle_connection_ms = 500
SETTINGS
  start "host-$host" build/cmd/trefoild "$work/host-$host.toml"
done
host_pids=("${pids[@]: -3}")
for host in 1 2 3; do wait_for "http://127.0.12.3$host:$port/readyz"; done

send() { # send KEY BODY HOST SECONDS: prints the verdict, or an empty string on timeout
  curl -s -m "$4" -o /dev/null -D - -X POST "http://127.0.12.3$3:$port/results/record" \
    -H "Authorization: Bearer $credential" -H "Idempotency-Key: $1" -d "$2" |
    sed -n 's/^X-Trefoil-Verdict: //p' | tr -d '\r'
}

caller() { # caller NUMBER: sends each request up to six times until the verdict is "ran"; the first attempt times out after 80 ms
  for number in $(seq 8); do
    key="$(date +%s)-caller-$1-$number"
    for sending in $(seq 6); do
      patience=$([ "$sending" = 1 ] && echo 0.08 || echo 4)
      verdict=$(send "$key" "run-$$-caller-$1-result-$number" $(((sending + $1 + number) % 3 + 1)) "$patience") || true
      echo "run-$$-caller-$1-result-$number ${verdict:-none}" >>"$work/told-$1"
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

for pid in "${pids[@]:0:2}"; do kill -0 "$pid"; done
curl -s "http://$app/history" | grep -o 'run-[0-9]*-caller-[0-9]*-result-[0-9]*' | sort >"$work/ran"
echo "$(wc -l <"$work/ran") of 32 requests ran, $(cat "$work"/told-* | wc -l) attempts, verdicts:" \
  "$(cut -d' ' -f2 "$work"/told-* | sort | uniq -c | tr '\n' ' ')"
if [ -n "$(uniq -d "$work/ran")" ]; then
  echo "ran twice: $(uniq -d "$work/ran")"
  exit 1
fi
sort -u "$work"/told-* | sed -n 's/ ran$//p' >"$work/ran-as-told"
if [ -n "$(comm -13 "$work/ran" "$work/ran-as-told")" ]; then
  echo "verdict ran, but did not run: $(comm -13 "$work/ran" "$work/ran-as-told")"
  exit 1
fi
[ "$(wc -l <"$work/ran")" -ge 16 ]
