#!/usr/bin/env bash
# Soak test: three entry hosts and six backend servers, with faults that are chosen from a seed and injected from outside the
# processes.
#
#   tests/soak/soak.sh [SEED] [SECONDS] [SITE] [SCHEDULE]    # prints the faults and a summary; fails if a guarantee is violated
#
# Runs on 127.0.SITE.*, so that several runs can be concurrent; 5, 7, 11 to 13 and 31 to 34 are used by tests. Connections of
# hosts to servers and to the platform go through a proxy that can delay, reset, cut one direction of, or silence them. Faults overlap.
# GATEWAY selects another program in place of build/cmd/trefoil-gateway, and HOSTS another number of hosts, at most 99.
#
# SCHEDULE is `faults`, or `cuts`, which adds, one after the other, cuts of one, two or all hosts from all servers, which last
# some seconds or come and go every second, and crashes of half of the servers at once. With an odd seed, requests share bodies.
# In a run of 30 s or more, a move to a version that is as good is ordered some seconds after a cut has begun; its servers run
# beside the six others, which are killed when the move completes.
#
# Guarantees: a `write` runs at most once; a request answered with 429 or 503 has not run; a complete success has the correct
# body; an incomplete answer is recognizable as incomplete; a revoked key is rejected; at least half of the requests are served
# (with cuts: of those at hosts that are not cut off); a request that has run gets an answer unless its host is killed; a
# process that is not killed ends only after SIGTERM, with status 0, within its stop notice; after the last fault each host
# serves each kind of request. With cuts also rule RECOVER: from 3 s after a cut of some hosts, requests there are not served less
# than two thirds as often as those at the others while more than 10 + 1 in 50 of all requests fail there. Requests count for
# it if their host is not killed, stopped or paused within 3 s before them, and there is such a host that is not cut off. The
# version move is decided at most 10 s after its time limit and the last fault. It is rolled back only if no host was free of
# cuts, kills, stops and pauses throughout, and then for lack of answers, not for failures: not before 0.8 of its time.
set -euo pipefail
seed=${1:-1} seconds=${2:-10} site=127.0.${3:-5} first=0 schedule=${4:-faults}
servers=6 hosts=${HOSTS:-3}
# Servers `old_servers` + 1 to `servers` are of the new version. `first_server` is the first one of those that are harmed.
old_servers=$servers first_server=1
[ "$schedule" != cuts ] || [ "$seconds" -lt 30 ] || servers=12
. scripts/processes.sh
. tests/soak/site.sh
RANDOM=$seed

# server_up NUMBER: with cuts, servers also close connections now and then, so that hosts need new ones.
server_up() {
  if [ "$schedule" = cuts ]; then
    start_server "$1" app "zone-$(($1 % 3))" --close-every=10 --server-version="v$((($1 - 1) / old_servers + 1))"
  else
    start_server "$1" app "zone-$(($1 % 3))"
  fi
}
host_up() { start_host "$1" "zone-$((($1 - 1) % 3 + 1))"; } # host_up NUMBER
kill_now() { # kill_now SIGNAL NAME
  case $1 in
    KILL) expect_end "$2" 137 ;;
    TERM) expect_end "$2" 0 ;;
  esac
  kill "-$1" "$(pid_of "$2")" 2>/dev/null || true
}
kill_server() { # kill_server NUMBER: kills a server and starts it again
  echo "kill server $1"
  kill_now KILL "server-$1"
  gone "server-$1"
  server_up "$1"
}
# out_of_touch HOST COMMAND...: runs a command that stops or pauses a host, and notes when.
out_of_touch() {
  local host=$1 from
  from=$(now_ms)
  shift
  "$@"
  echo "$host $from $(now_ms)" >>"$work/out_of_touch"
}
restart_host() { # restart_host SIGNAL HOST
  kill_now "$1" "host-$2"
  [ "$1" != KILL ] || echo "$2 $(now_ms)" >>"$work/killed"
  gone "host-$2"
  host_up "$2"
  wait_for_url "http://$(host_address "$2" 18081)/"
}
pause_host() {
  kill_now STOP "host-$1"
  sleep 0.8
  kill_now CONT "host-$1"
}
# harm_link LINK FAULT SECONDS: harms a link of a host. Does nothing for links of hosts that are cut off.
harm_link() {
  local host=$(($1 / servers + 1))
  [ -e "$work/cut-$host" ] || link "$1" "$2"
  sleep "$3"
  [ -e "$work/cut-$host" ] || link "$1" none
}
harm_server_links() { # harm_server_links SERVER FAULT SECONDS: harms the links of all hosts to a server
  local host
  echo "$2 links to server $1 for $3 s"
  for host in $(seq $hosts); do harm_link "$(server_link "$host" "$1")" "$2" "$3" & done
}
harm_store_link() { # harm_store_link HOST FAULT SECONDS
  echo "$2 link of host $1 to the store for $3 s"
  link "$(store_link "$1")" "$2"
  (sleep "$3"; link "$(store_link "$1")" none) &
}
# cut_hosts CUT SECONDS HOST...: cuts hosts off from all servers and notes when.
cut_hosts() {
  local cut=$1 lasts=$2 host from
  shift 2
  from=$(now_ms)
  for host in "$@"; do touch "$work/cut-$host"; cut_host "$host" "$cut"; done
  sleep "$lasts"
  for host in "$@"; do heal_host "$host"; rm -f "$work/cut-$host"; done
  for host in "$@"; do echo "$host $from $(now_ms) $#" >>"$work/cuts"; done
}
flap() { # flap CUT HOST...: cuts hosts off for every other second
  local cut=$1
  shift
  for _ in 1 2 3; do
    cut_hosts "$cut" 1 "$@"
    sleep 1
  done
}
# start_cut: starts a cut in the background that the seed chooses. It ends before the next one may start at `next_cut`.
start_cut() {
  local names=(hang hang_after_accept refuse refuse_after_accept reset reset_after_accept no_answers no_requests)
  local cut=${names[$((RANDOM % 8))]} count=$((RANDOM % hosts + 1)) from=$((RANDOM % hosts)) lasts=$((RANDOM % 4 + 8)) cut_off=() i
  for i in $(seq $count); do cut_off+=($(((from + i) % hosts + 1))); done
  if [ $((RANDOM % 4)) = 0 ]; then
    echo "cut off hosts ${cut_off[*]} every second: $cut"
    flap "$cut" "${cut_off[@]}" &
  else
    echo "cut off hosts ${cut_off[*]} for $lasts s: $cut"
    cut_hosts "$cut" $lasts "${cut_off[@]}" &
  fi
  next_cut=$((SECONDS + lasts + 4))
}
# order_move: starts the servers of the new version and orders the move to it.
order_move() {
  local server
  echo "version v2 is ordered, within $move_lasts s"
  for server in $(seq $((old_servers + 1)) $servers); do server_up "$server"; done
  curl -fs -X PUT "http://$platform/admin/key?Key=op%2Frollout%2Fapp" \
    --data-binary "{\"Service\":\"app\",\"Target\":\"v2\",\"DurationS\":$move_lasts}"
  move=running ordered_at=$SECONDS ordered_ms=$(now_ms)
}
move_state() { # prints what the system has told operators of the move
  curl -fs "http://$platform/trefoillb/kv-key?Key=status%2Frollout%2Fapp" | sed -n 's/.*"Value" *: *"\([^"]*\)".*/\1/p' |
    base64 -d | grep -o 'running\|completed\|rolled_back'
}
# follow_move: the platform stops the replaced servers at once when a move has completed, and the new ones if it is rolled back.
follow_move() {
  local state server
  state=$(move_state) || return 0
  [ "$state" != running ] || return 0
  move=$state decided_ms=$(now_ms)
  echo "version v2 is $state after $((SECONDS - ordered_at)) s"
  if [ "$state" = completed ]; then
    first_server=$((old_servers + 1))
    for server in $(seq $old_servers); do kill_now KILL "server-$server"; done
  else
    for server in $(seq $((old_servers + 1)) $servers); do kill_now TERM "server-$server"; done
  fi
}
# The platform forgets its changes before and after it, so that hosts that do not have it must list the keys.
revoke_key() {
  echo "the platform drops its history, and a key is revoked"
  curl -fs -X POST "http://$platform/admin/drop-history"
  configure 2 '"key"'
  curl -fs -X POST "http://$platform/admin/drop-history"
  revoked=yes taken_away=$((until + 1))
}
gone() { # gone NAME: waits for the end of a process; kills it after 10 s
  local _
  for _ in $(seq 200); do
    kill -0 "$(pid_of "$1")" 2>/dev/null || return 0
    sleep 0.05
  done
  kill -KILL "$(pid_of "$1")" 2>/dev/null || true
}

start_platform write:non_idempotent:false:app read:idempotent:false:app talk:stream:true:app
configure 1 '"key","old"'
start_links
for file in runs killed cuts out_of_touch; do : >"$work/$file"; done
for i in $(seq $old_servers); do server_up "$i"; done
for i in $(seq $hosts); do host_up "$i"; done
wait_for_hosts
mapfile -t addresses < <(host_addresses)
sleep 1

callers_of_cuts=()
if [ "$schedule" = cuts ]; then
  callers_of_cuts=(--callers-per-host=$(((35 + hosts) / hosts)) --pause-ms=300)
  [ $((seed % 2)) = 0 ] || callers_of_cuts+=(--bodies=16)
fi
# Each fourth seed has clients of host 1 that misbehave, on a path without a route, so that nothing of theirs runs.
crowds=(whole_body large_chunks endless_headers bare_line_feeds tiny_chunks_over_limit open_only)
if [ $((seed % 4)) = 0 ]; then
  start crowd build/tests/hostile_clients/hostile-client "${crowds[seed / 4 % ${#crowds[@]}]}" "$(host_address 1 18080)" \
    --path=/none/ --clients=30
fi
build/tests/soak/soak-client --seconds="$seconds" --seed="$seed" "${callers_of_cuts[@]}" "${addresses[@]}" >"$work/results" &
callers=$!
revoked="" next_cut=0
move=none move_lasts=15 ordered_at=0 ordered_ms=0 decided_ms=0 order_at=$((SECONDS + 1 + seed % 4))
[ $servers != $old_servers ] || move=left_out
until=$((SECONDS + seconds - 2)) taken_away=$((SECONDS + seconds / 3))
faults=(delay reset cut_to_target cut_to_caller silence)
while [ $SECONDS -lt $until ]; do
  if [ $SECONDS -ge $taken_away ]; then
    revoke_key
  fi
  if [ "$schedule" = cuts ] && [ $SECONDS -ge $next_cut ]; then
    start_cut
  fi
  if [ $move = none ] && [ $SECONDS -ge $order_at ]; then
    order_move
  elif [ $move = running ]; then
    follow_move
  fi
  server=$((RANDOM % old_servers + first_server)) host=$((RANDOM % hosts + 1))
  case $((RANDOM % $([ "$schedule" = cuts ] && echo 12 || echo 11))) in
    0 | 1) kill_server $server ;;
    2) echo "pause server $server"; kill_now STOP "server-$server"; (sleep 1.2; kill_now CONT "server-$server") & ;;
    3) echo "kill host $host"; out_of_touch $host restart_host KILL $host ;;
    4) echo "stop host $host"; out_of_touch $host restart_host TERM $host ;;
    5) echo "pause host $host"; out_of_touch $host pause_host $host & ;;
    6) echo "platform unavailable for 1 s"; curl -fs -X POST "http://$platform/admin/fault?Down=1"; sleep 1
       curl -fs -X POST "http://$platform/admin/fault?Down=0" ;;
    7 | 8 | 9) harm_server_links $server "${faults[$((RANDOM % 5))]}" "1.$((RANDOM % 9))" ;;
    10) harm_store_link $host "${faults[$((RANDOM % 5))]}" "1.$((RANDOM % 9))" ;;
    11) for i in 1 2 3; do kill_server $(((server + i) % old_servers + first_server)); done ;;
  esac
  sleep "0.$((RANDOM % 6 + 2))"
done
# A host that stops slowly can end the loop before the key was revoked.
[ -n "$revoked" ] || revoke_key
wait $callers
# The host that decides can be killed before it has told operators.
decided_by=$((SECONDS > ordered_at + move_lasts ? SECONDS + 10 : ordered_at + move_lasts + 10))
while [ $move = running ] && [ $SECONDS -lt $decided_by ]; do
  follow_move
  sleep 0.1
done
while ls "$work"/cut-* >/dev/null 2>&1; do sleep 0.1; done
link "0-$((hosts * (servers + 1) - 1))" none
sleep 6
ask() { # ask ID HOST KIND KEY: prints the status of a request
  curl -s -o /dev/null -w '%{http_code}' -H "Host: soak.example" -H "Request-Id: $1" -H "Authorization: Token $4" \
    -H "Deadline-Milliseconds: 2000" -d "$1" "http://$(host_address "$2" 18080)/$3/x"
}
for i in $(seq $hosts); do
  echo "old-$i read $(ask "old-$i" "$i" read old) true false" >>"$work/results"
  for kind in write read talk; do echo "end-$i-$kind $kind $(ask "end-$i-$kind" "$i" $kind key) true true" >>"$work/results"; done
done
failed=0
[ ! -e "$work/crowd.pid" ] || terminate crowd
terminate $(seq -f 'host-%.0f' $hosts)
check_ends || failed=1
awk -v seed="$seed" -v schedule="$schedule" -v hosts="$hosts" -v contact_ms=3000 \
  -v move="$move" -v ordered_ms="$ordered_ms" -v decided_ms="$decided_ms" -v move_lasts=$move_lasts '
  function violated(aText) { print aText; broken++ }
  # Returns whether a period of the host in `aPeriods`, extended by `aBefore` and `aAfter`, contains the time.
  function within(aPeriods, aHost, aTime, aBefore, aAfter,   i, n, list, period) {
    n = split(aPeriods[aHost], list, " ")
    for (i = 1; i <= n; i++) {
      split(list[i], period, ":")
      if (aTime >= period[1] + aBefore && aTime < period[2] + aAfter) return 1
    }
    return 0
  }
  # Returns whether a host that is in touch reaches the servers, so that the rule compares with its requests.
  function others_serve(aTime,   i) {
    for (i = 1; i <= hosts; i++)
      if (!within(cut, i, aTime, -contact_ms, contact_ms) && !within(out, i, aTime, -contact_ms, contact_ms)) return 1
    return 0
  }
  # Returns whether a period of the host in `aPeriods` overlaps the time from `aFrom` to `aTo`.
  function overlaps(aPeriods, aHost, aFrom, aTo,   i, n, list, period) {
    n = split(aPeriods[aHost], list, " ")
    for (i = 1; i <= n; i++) {
      split(list[i], period, ":")
      if (period[1] < aTo && period[2] > aFrom) return 1
    }
    return 0
  }
  function has_undisturbed_host(aFrom, aTo,   i) {
    for (i = 1; i <= hosts; i++) if (!overlaps(cut, i, aFrom, aTo) && !overlaps(out, i, aFrom, aTo)) return 1
    return 0
  }
  FILENAME ~ /runs$/ { runs[$1]++; next }
  FILENAME ~ /killed$/ { killed[$1] = killed[$1] " " $2 ":" $2; next }
  FILENAME ~ /out_of_touch$/ { out[$1] = out[$1] " " $2 ":" $3; next }
  FILENAME ~ /cuts$/ {
    cut[$1] = cut[$1] " " $2 ":" $3
    if ($4 < hosts) some[""] = some[""] " " $2 ":" $3
    next
  }
  $1 ~ /^old-/ && ($3 == 200 || runs[$1] > 0) { violated("a revoked key was served: " $0) }
  $1 ~ /^old-/ { next }
  $1 ~ /^end-/ && $3 != 200 { violated("not served after the last fault: " $0) }
  $1 ~ /^end-/ { next }
  {
    ok = $3 == 200 && $4 == "true"
    all++; served += ok
    if (!within(cut, $6, $7, -contact_ms, contact_ms)) { uncut++; uncut_served += ok }
    if (within(some, "", $7, contact_ms, 0) && !within(out, $6, $7, -contact_ms, contact_ms) && others_serve($7)) {
      group = within(cut, $6, $7, contact_ms, 0) ? "cut-off" : "other"
      tries[group]++; answers[group] += ok && $5 == "true"
    }
  }
  $2 == "write" && runs[$1] > 1 { violated("ran twice: " $0) }
  ($3 == 429 || $3 == 503) && runs[$1] > 0 { violated("answered as not run, but ran: " $0) }
  $3 == 200 && $4 == "true" && $5 != "true" { violated("wrong answer: " $0) }
  $3 == 200 && $4 == "true" && runs[$1] == 0 { violated("served, but did not run: " $0) }
  $3 == 0 && runs[$1] > 0 && !within(killed, $6, $8, -100, 1000) { violated("ran, but got no answer: " $0) }
  END {
    failed = tries["cut-off"] - answers["cut-off"]
    if (tries["cut-off"] && tries["other"] && failed > 10 + (tries["cut-off"] + tries["other"]) / 50 &&
        answers["cut-off"] / tries["cut-off"] < answers["other"] / tries["other"] * 2 / 3)
      violated("RECOVER: too few requests are served at the cut-off hosts")
    if (move == "running" || move == "none") violated("the version move is not decided")
    if (move == "rolled_back" &&
        (has_undisturbed_host(ordered_ms, decided_ms) || decided_ms - ordered_ms < move_lasts * 800))
      violated("a good version was rolled back")
    if (uncut_served * 2 < uncut)
      violated("served only " uncut_served " of " uncut " requests at hosts that were not cut off")
    if (schedule == "cuts")
      printf "served from %d ms after cuts: %d of %d at cut-off hosts, %d of %d at others\n", contact_ms,
        answers["cut-off"], tries["cut-off"], answers["other"], tries["other"]
    printf "seed %s: %d requests, %d served, %d violated guarantees\n", seed, all, served, broken
    exit broken > 0
  }' "$work/runs" "$work/killed" "$work/out_of_touch" "$work/cuts" "$work/results" || failed=1
exit $failed
