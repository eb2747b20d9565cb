#!/usr/bin/env bash
# Soak: three entry hosts before six backend servers, with faults drawn from a seed, from outside the processes.
#
#   tests/soak/soak.sh [SEED] [SECONDS]      # prints what it did and what callers saw; fails if a promise broke
#
# Promises: a `write` runs once at most; one answered 429 or 503 has not run; a success is whole and the right one; an answer
# that is not whole never looks whole; at least half of the requests are served.
set -euo pipefail
seed=${1:-1} seconds=${2:-10}
. scripts/processes.sh
RANDOM=$seed
platform=127.0.5.100:19500
servers=6 hosts=3

server_up() { # server_up NUMBER
  start "server-$1" build/standin/standin-platform-server "i-$1-$SECONDS-$RANDOM" "127.0.5.10$1:19501" --platform=$platform \
    --service=app --zone="zone-$(($1 % 3))" --runs="$work/runs"
}
host_up() { # host_up NUMBER
  start "host-$1" build/cmd/trefoil-gateway "$work/host-$1.toml"
}
kill_now() { # kill_now SIGNAL NAME
  kill "-$1" "$(pid_of "$2")" 2>/dev/null || true
}
gone() { # gone NAME: waits for the end of a process
  local _
  for _ in $(seq 200); do
    kill -0 "$(pid_of "$1")" 2>/dev/null || return 0
    sleep 0.05
  done
  kill_now KILL "$1"
}

start platform build/standin/standin-platform $platform
wait_for_url "http://$platform/admin/fault?Down=0"
routes="" separator=""
for kind in write:non_idempotent:false read:idempotent:false talk:stream:true; do
  IFS=: read -r name semantics resume <<<"$kind"
  routes+="$separator{\"Name\":\"$name\",\"Host\":\"soak.example\",\"PathPrefix\":\"/$name/\",\"Kind\":\"$semantics\",\"TimeoutMs\":3000,"
  routes+="\"GoalMs\":300,\"GapTargetMs\":200,\"Attempts\":3,\"ResumeStreams\":$resume,\"Service\":\"app\"}"
  separator=,
done
curl -fs -X PUT "http://$platform/admin/key?Key=op%2Fconfig" --data-binary "{\"Version\":1,\"Routes\":[$routes],
  \"Services\":[{\"Name\":\"app\"}],\"Tenants\":[{\"Name\":\"club\",\"ApiKeys\":[\"key\"]}]}"
: >"$work/runs"
for i in $(seq $servers); do server_up "$i"; done
addresses=()
for i in $(seq $hosts); do
  cat >"$work/host-$i.toml" <<END
host = "host-$i"
availability_zone = "zone-$i"
listen = "127.0.5.$i:18080"
readiness_listen = "127.0.5.$i:18081"
peer_listen = "127.0.5.$i:17000"
store = "$platform"
cloud = "$platform"
report_usage = true
stop_notice_s = 8
END
  host_up "$i"
  addresses+=("127.0.5.$i:18080")
done
for i in $(seq $hosts); do wait_for_url "http://127.0.5.$i:18081/"; done
sleep 1

build/tests/soak/soak-client --seconds="$seconds" --seed="$seed" "${addresses[@]}" >"$work/results" &
callers=$!
until=$((SECONDS + seconds - 2))
while [ $SECONDS -lt $until ]; do
  server=$((RANDOM % servers + 1)) host=$((RANDOM % hosts + 1))
  case $((RANDOM % 7)) in
    0 | 1) echo "kill server $server"; kill_now KILL "server-$server"; gone "server-$server"; server_up $server ;;
    2) echo "pause server $server"; kill_now STOP "server-$server"; (sleep 1.2; kill_now CONT "server-$server") & ;;
    3) echo "kill host $host"; kill_now KILL "host-$host"; gone "host-$host"; host_up $host ;;
    4) echo "stop host $host"; kill_now TERM "host-$host"; (gone "host-$host") ; host_up $host ;;
    5) echo "pause host $host"; kill_now STOP "host-$host"; (sleep 0.8; kill_now CONT "host-$host") & ;;
    6) echo "platform away"; curl -fs -X POST "http://$platform/admin/fault?Down=1"; sleep 1
       curl -fs -X POST "http://$platform/admin/fault?Down=0" ;;
  esac
  sleep "0.$((RANDOM % 6 + 2))"
done
wait $callers
sleep 1

awk -v seed="$seed" '
  FNR == NR { runs[$1]++; next }
  { all++; if ($3 == 200 && $4 == "true") served++ }
  $2 == "write" && runs[$1] > 1 { print "ran twice: " $0; broken++ }
  ($3 == 429 || $3 == 503) && runs[$1] > 0 { print "said not run, and ran: " $0; broken++ }
  $3 == 200 && $4 == "true" && $5 != "true" { print "wrong answer: " $0; broken++ }
  $3 == 200 && $4 == "true" && runs[$1] == 0 { print "served without a run: " $0; broken++ }
  END {
    printf "seed %s: %d requests, %d served, %d broken promises\n", seed, all, served, broken
    exit (broken > 0 || served * 2 < all)
  }' "$work/runs" "$work/results"
