#!/usr/bin/env bash
# Soak test: three entry hosts and six backend servers, with faults that are chosen from a seed and injected from outside the
# processes.
#
#   tests/soak/soak.sh [SEED] [SECONDS] [SITE]    # prints the faults and a summary; fails if a guarantee is violated
#
# Runs on 127.0.SITE.*, so that several runs can be concurrent; 5, 7 and 11 to 13 are used by tests. Connections of hosts to servers and to the platform go through
# a proxy that can delay, reset, cut one direction of, or silence them. Faults overlap. GATEWAY selects another program in place
# of build/cmd/trefoil-gateway, such as one without one of its safeguards.
#
# Guarantees: a `write` runs at most once; a request answered with 429 or 503 has not run; a complete success has the correct
# body; an incomplete answer is recognizable as incomplete; a revoked key is rejected; at least half of the requests are served.
set -euo pipefail
seed=${1:-1} seconds=${2:-10} site=127.0.${3:-5}
. scripts/processes.sh
RANDOM=$seed
platform=$site.100:19500 proxy=$site.130:19502
servers=6 hosts=3

server_up() { # server_up NUMBER
  start "server-$1" build/standin/standin-platform-server "i-$1-$SECONDS-$RANDOM" "$site.10$1:19501" --platform=$platform \
    --reached-at="$site.11$1:19501" --service=app --zone="zone-$(($1 % 3))" --runs="$work/runs"
}
host_up() { # host_up NUMBER
  start "host-$1" "${GATEWAY:-build/cmd/trefoil-gateway}" "$work/host-$1.toml"
}
kill_now() { # kill_now SIGNAL NAME
  kill "-$1" "$(pid_of "$2")" 2>/dev/null || true
}
link() { # link NUMBER FAULT: sets the fault of a link; 0 to 5 lead to the servers, 6 to 8 from the hosts to the platform
  curl -fs -X POST "http://$proxy/fault?Link=$1&Fault=$2"
}
harm_link() { # harm_link NUMBER FAULT SECONDS
  echo "$2 link $1 for $3 s"
  link "$1" "$2"
  (sleep "$3"; link "$1" none) &
}
configure() { # configure VERSION KEYS
  curl -fs -X PUT "http://$platform/admin/key?Key=op%2Fconfig" --data-binary "{\"Version\":$1,\"Routes\":[$routes],
    \"Services\":[{\"Name\":\"app\"}],\"Tenants\":[{\"Name\":\"club\",\"ApiKeys\":[$2]}]}"
}
revoke_key() {
  echo "a key is revoked"
  configure 2 '"key"'
  revoked=yes taken_away=$((until + 1))
}
gone() { # gone NAME: waits for the end of a process; kills it after 10 s
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
configure 1 '"key","old"'
links=()
for i in $(seq $servers); do links+=("$site.11$i:19501=$site.10$i:19501"); done
for i in $(seq $hosts); do links+=("$site.12$i:19500=$platform"); done
start proxy build/standin/standin-fault-proxy "$proxy" "${links[@]}"
wait_for_url "http://$proxy/fault?Link=0&Fault=none"
: >"$work/runs"
for i in $(seq $servers); do server_up "$i"; done
addresses=()
for i in $(seq $hosts); do
  cat >"$work/host-$i.toml" <<END
host = "host-$i"
availability_zone = "zone-$i"
listen = "$site.$i:18080"
readiness_listen = "$site.$i:18081"
peer_listen = "$site.$i:17000"
store = "$site.12$i:19500"
cloud = "$platform"
report_usage = true
stop_notice_s = 8
END
  host_up "$i"
  addresses+=("$site.$i:18080")
done
for i in $(seq $hosts); do wait_for_url "http://$site.$i:18081/"; done
sleep 1

build/tests/soak/soak-client --seconds="$seconds" --seed="$seed" "${addresses[@]}" >"$work/results" &
callers=$!
revoked=""
until=$((SECONDS + seconds - 2)) taken_away=$((SECONDS + seconds / 3))
faults=(delay reset cut_to_target cut_to_caller silence)
while [ $SECONDS -lt $until ]; do
  if [ $SECONDS -ge $taken_away ]; then
    revoke_key
  fi
  server=$((RANDOM % servers + 1)) host=$((RANDOM % hosts + 1))
  case $((RANDOM % 11)) in
    0 | 1) echo "kill server $server"; kill_now KILL "server-$server"; gone "server-$server"; server_up $server ;;
    2) echo "pause server $server"; kill_now STOP "server-$server"; (sleep 1.2; kill_now CONT "server-$server") & ;;
    3) echo "kill host $host"; kill_now KILL "host-$host"; gone "host-$host"; host_up $host ;;
    4) echo "stop host $host"; kill_now TERM "host-$host"; (gone "host-$host") ; host_up $host ;;
    5) echo "pause host $host"; kill_now STOP "host-$host"; (sleep 0.8; kill_now CONT "host-$host") & ;;
    6) echo "platform unavailable for 1 s"; curl -fs -X POST "http://$platform/admin/fault?Down=1"; sleep 1
       curl -fs -X POST "http://$platform/admin/fault?Down=0" ;;
    7 | 8 | 9) harm_link $((server - 1)) "${faults[$((RANDOM % 5))]}" "1.$((RANDOM % 9))" ;;
    10) harm_link $((servers + host - 1)) "${faults[$((RANDOM % 5))]}" "1.$((RANDOM % 9))" ;;
  esac
  sleep "0.$((RANDOM % 6 + 2))"
done
# A host that stops slowly can end the loop before the key was revoked.
[ -n "$revoked" ] || revoke_key
wait $callers
for i in $(seq 0 $((servers + hosts - 1))); do link "$i" none; done
sleep 6
for i in $(seq $hosts); do
  status=$(curl -s -o /dev/null -w '%{http_code}' -H "Host: soak.example" -H "Request-Id: old-$i" -H "Authorization: Token old" \
    -H "Deadline-Milliseconds: 2000" "http://$site.$i:18080/read/x")
  echo "old-$i read $status true false" >>"$work/results"
done

awk -v seed="$seed" '
  FNR == NR { runs[$1]++; next }
  $1 ~ /^old-/ && ($3 == 200 || runs[$1] > 0) { print "a revoked key was served: " $0; broken++ }
  $1 ~ /^old-/ { next }
  { all++; if ($3 == 200 && $4 == "true") served++ }
  $2 == "write" && runs[$1] > 1 { print "ran twice: " $0; broken++ }
  ($3 == 429 || $3 == 503) && runs[$1] > 0 { print "answered as not run, but ran: " $0; broken++ }
  $3 == 200 && $4 == "true" && $5 != "true" { print "wrong answer: " $0; broken++ }
  $3 == 200 && $4 == "true" && runs[$1] == 0 { print "served, but did not run: " $0; broken++ }
  END {
    printf "seed %s: %d requests, %d served, %d violated guarantees\n", seed, all, served, broken
    exit (broken > 0 || served * 2 < all)
  }' "$work/runs" "$work/results"
