#!/usr/bin/env bash
# Guards against clients that end a daemon: many of them send large bodies, stop short of their end and stay, send far more than
# they may, send byte by byte, do not read answers or only connect. The process must live, its memory with what its kernel holds
# for clients must stay below that of its machine, its descriptors below their limit, and an ordinary request must be answered,
# while these clients are still connected and after they have gone.
#
#   tests/hostile_clients/hostile_clients.sh trefoil-gateway whole_body    # DAEMON KIND; hostile_client.cc has the kinds
#
# It runs on 127.0.41.*, checks nothing that depends on the speed of the machine, and prints the figures. PROGRAMS is the folder
# of the daemons, such as one of another version.
set -Eeuo pipefail
trap 'echo "line $LINENO failed: $BASH_COMMAND" >&2' ERR
daemon=$1 kind=$2 programs=${PROGRAMS:-build/cmd}
. scripts/processes.sh
# The machine of the daemon, and the crowd. The same for all kinds but the one that only connects.
memory_mb=64 most_connections=400 clients=60 body_bytes=4194304
# Descriptors beside those of connections: listeners, the event loop, the log, calls to the store.
other_descriptors=60
# The most bytes that one client may send in all its connections, of 151 MB that it wants to send.
most_sent_bytes=16000000
[ "$kind" != open_only ] || clients=700
host=127.0.41.1 store=127.0.41.100:19500 server=127.0.41.101:19501 big_server=127.0.41.102:19501

start_gateway() {
  local routes="" name
  start store build/standin/standin-platform $store
  wait_for_url "http://$store/admin/fault?Down=0"
  for name in write:app big:chat; do
    routes+="${routes:+,}{\"Name\":\"${name%:*}\",\"Host\":\"soak.example\",\"PathPrefix\":\"/${name%:*}/\",\"Kind\":\"idempotent\","
    routes+="\"TimeoutMs\":20000,\"GoalMs\":300,\"Attempts\":3,\"ResumeStreams\":false,\"Service\":\"${name#*:}\"}"
  done
  curl -fs -X PUT "http://$store/admin/key?Key=op%2Fconfig" --data-binary "{\"Version\":1,\"Routes\":[$routes],
    \"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":$body_bytes,\"HeaderTimeoutMs\":30000,\"IdleTimeoutMs\":20000},
    \"Services\":[{\"Name\":\"app\"},{\"Name\":\"chat\"}]}"
  start server build/standin/standin-platform-server i-1 $server --platform=$store --service=app --zone=zone-1 \
    --runs="$work/runs"
  start big-server build/standin/standin-platform-server i-2 $big_server --platform=$store --service=chat --zone=zone-1 \
    --runs="$work/runs" --answer-bytes=1000000
  cat >"$work/host.toml" <<END
host = "host-1"
availability_zone = "zone-1"
listen = "$host:18080"
readiness_listen = "$host:18081"
peer_listen = "$host:17000"
metrics_listen = "$host:19100"
store = "$store"
most_connections = $most_connections
memory_mb = $memory_mb
stop_notice_s = 8
END
  start host "$programs/trefoil-gateway" "$work/host.toml"
  wait_for_url "http://$host:18081/"
  hostile_options=(--path=/write/1)
  [ "$kind" != unread_answers ] || hostile_options=(--path=/big/1)
}
start_trefoild() {
  local number
  start store build/standin/standin-store $store
  wait_for_url "http://$store/v1/list?prefix=none"
  start engine build/standin/standin-engine engine-1 $server --token-ms=5
  start app build/standin/standin-plain-service app-1 $big_server
  printf 'service = "rules"\n[[version]]\nversion = "v1"\nshare_percent = 100\n[[account]]\naccount = "directors"
credential_sha256 = "%s"\n[[backend_server]]\nserver = "engine-1"\nendpoint = "%s"\navailability_zone = "zone-1"
version = "v1"\n' "$(sha256_of secret)" $server >"$work/rules.toml"
  printf 'service = "app"\nkind = "plain"\n[[version]]\nversion = "v1"\nshare_percent = 100\n[[account]]\naccount = "directors"
credential_sha256 = "%s"\n[[backend_server]]\nserver = "app-1"\nendpoint = "%s"\navailability_zone = "zone-1"
version = "v1"\n' "$(sha256_of secret)" $big_server >"$work/app.toml"
  build/cmd/trefoilctl put "$work/rules.toml" --store=$store >/dev/null
  build/cmd/trefoilctl put "$work/app.toml" --store=$store >/dev/null
  wait_for_url "http://$big_server/"
  # GET /history returns all recorded bodies, 1 MB.
  for number in $(seq 10); do
    head -c 100000 /dev/zero | tr '\0' "$((number - 1))" | curl -fs -o /dev/null "http://$big_server/" --data-binary @-
  done
  host_settings host zone-1 $host $store
  printf 'most_connections = %s\nmemory_mb = %s\nmost_body_bytes = %s\n' $most_connections $memory_mb $body_bytes \
    >>"$work/host.toml"
  start host "$programs/trefoild" "$work/host.toml"
  wait_for_url "http://$host:18080/readyz"
  hostile_options=(--path=/v1/completions "--header=Authorization: Bearer secret")
  [ "$kind" != unread_answers ] || hostile_options[0]=--path=/app/history
}
# ordinary_request: sends one small request; prints the status.
ordinary_request() {
  if [ "$daemon" = trefoil-gateway ]; then
    curl -s -m 60 -o /dev/null -w '%{http_code}' "http://$host:18080/write/ordinary" -H 'Host: soak.example' \
      -H "Request-Id: ordinary-$RANDOM" -H 'Deadline-Milliseconds: 20000' -d ordinary
  else
    curl -s -m 60 -o /dev/null -w '%{http_code}' "http://$host:18080/v1/completions" -H 'Authorization: Bearer secret' \
      -d "{\"model\":\"rules\",\"prompt\":\"ordinary $RANDOM\",\"max_tokens\":4}"
  fi
}
# kernel_bytes: prints the bytes that the kernel holds for the daemon's connections with clients and servers.
kernel_bytes() {
  local address ip port own others
  address() { IFS=.: read -ra ip <<<"$1"; printf '%02X%02X%02X%02X:%04X' "${ip[3]}" "${ip[2]}" "${ip[1]}" "${ip[0]}" "${ip[4]}"; }
  own=$(address $host:18080) others="$(address $server) $(address $big_server)"
  awk -v own="$own" -v others="$others" 'function hex(text, i, n) {
      for (i = 1; i <= length(text); i++) n = n * 16 + index("0123456789ABCDEF", substr(text, i, 1)) - 1
      return n }
    NR > 1 && $4 != "0A" && ($2 == own || index(others, $3)) { split($5, q, ":"); sum += hex(q[1]) + hex(q[2]) }
    END { print sum + 0 }' /proc/net/tcp
}
peak_kernel=0 peak_descriptors=0
sample() {
  local bytes descriptors
  bytes=$(kernel_bytes)
  descriptors=$(find "/proc/$(pid_of host)/fd" -mindepth 1 2>/dev/null | wc -l)
  if [ "$bytes" -gt $peak_kernel ]; then peak_kernel=$bytes; fi
  if [ "$descriptors" -gt $peak_descriptors ]; then peak_descriptors=$descriptors; fi
}

failed=0
fail() { echo "FAILED $daemon $kind: $*"; failed=1; }
if [ "$daemon" = trefoil-gateway ]; then start_gateway; else start_trefoild; fi
served() { [ "$(ordinary_request)" = 200 ]; }
wait_until served
pid=$(pid_of host)
before=$(awk '/VmHWM/ { print $2 * 1024 }' "/proc/$pid/status")
start crowd build/tests/hostile_clients/hostile-client "$kind" $host:18080 --clients=$clients --body-bytes=$body_bytes \
  "${hostile_options[@]}"
for _ in $(seq 900); do
  sample
  if grep -q settled "$work/crowd.log"; then break; fi
  sleep 0.1
done
# Slow clients may still be sending. What they have sent may not have been read yet.
for _ in $(seq 10); do sample; sleep 0.2; done
during=$(ordinary_request) || true
[ "$during" = 200 ] || fail "an ordinary request was answered with $during while the clients were connected"
sample
expect_end crowd 0
kill "$(pid_of crowd)"
end_of crowd
after=$(ordinary_request) || true
[ "$after" = 200 ] || fail "an ordinary request was answered with $after after the clients had gone"
kill -0 "$pid" 2>/dev/null || fail "the process has ended"
own=$(awk '/VmHWM/ { print $2 * 1024 }' "/proc/$pid/status")
own=${own:-0}
[ $((own + peak_kernel)) -le $((memory_mb * 1000000)) ] || fail "held $((own + peak_kernel)) bytes"
[ $peak_descriptors -le $((most_connections + other_descriptors)) ] || fail "$peak_descriptors open descriptors"
sent=$(grep -o 'sent_bytes=[0-9]*' "$work/crowd.log" | cut -d= -f2 || echo 0)
if [[ $kind = *over_limit ]] && [ "${sent:-0}" -gt $((clients * most_sent_bytes)) ]; then
  fail "the clients sent $sent bytes"
fi
terminate host
check_ends || fail "unexpected end"
echo "$daemon $kind: memory before $before, highest $own, kernel $peak_kernel bytes; descriptors $peak_descriptors;" \
  "ordinary $during, $after; $(grep settled "$work/crowd.log" || true)"
exit $failed
