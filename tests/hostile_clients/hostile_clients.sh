#!/usr/bin/env bash
# Guards against clients that end a daemon: many of them send large bodies, stop short of their end and stay, send far more than
# they may, send byte by byte, do not read answers or only connect. The process must live, its memory with what its kernel holds
# for clients must stay below that of its machine, its descriptors and its log below their limits, and an ordinary request must be
# answered, while these clients are still connected and after they have gone.
#
#   tests/hostile_clients/hostile_clients.sh trefoil-gateway whole_body    # DAEMON KIND; hostile_client.cc has the kinds
#   tests/hostile_clients/hostile_clients.sh trefoil-gateway open_only readiness          # at another listener
#   tests/hostile_clients/hostile_clients.sh trefoild many_requests few_descriptors       # with 300 descriptors
#
# It runs on 127.0.41.*, checks nothing that depends on the speed of the machine, and prints the figures. PROGRAMS is the folder
# of the daemons, such as one of another version.
set -Eeuo pipefail
trap 'echo "line $LINENO failed: $BASH_COMMAND" >&2' ERR
daemon=$1 kind=$2 variant=${3:-} programs=${PROGRAMS:-build/cmd}
. scripts/processes.sh
# The machine of the daemon, and the crowd. The same for all kinds but the one that only connects.
memory_mb=64 most_connections=400 clients=60 body_bytes=4194304
# Descriptors beside those of connections: listeners, the event loop, the log, calls to the store.
other_descriptors=60
# The most bytes that one client may send in all its connections, of 151 MB that it wants to send.
most_sent_bytes=16000000
# The most bytes that the daemon may log.
most_log_bytes=1000000
case $kind in
  open_only | reconnecting) clients=700 ;;
  unfinished_heads | waiting_heads | many_requests) clients=390 ;;
  # The connections that a machine of this memory has room for, in proportion to the smallest one: 3,075 and 120 MB.
  idle_after_large) clients=1100 most_connections=1200 ;;
esac
host=127.0.41.1 store=127.0.41.100:19500 server=127.0.41.101:19501 big_server=127.0.41.102:19501 slow_server=127.0.41.103:19501
case $variant in
  readiness) target=$host:18081 ;;
  metrics) target=$host:19100 ;;
  peer) target=$host:17000 ;;
  few_descriptors | "") target=$host:18080 ;;
  *) echo "unknown variant $variant" >&2; exit 2 ;;
esac

# start_daemon PROGRAM SETTINGS: starts the daemon as `host`.
start_daemon() {
  local most
  most=$(ulimit -n)
  [ "$variant" != few_descriptors ] || most=300
  start host bash -c "ulimit -n $most && exec \"\$0\" \"\$1\"" "$1" "$2"
}

start_gateway() {
  local routes="" name service timeout goal
  start store build/standin/standin-platform $store
  wait_for_url "http://$store/admin/fault?Down=0"
  for name in write:app:20000:300 big:chat:20000:300 slow:slow:8000:8000; do
    IFS=: read -r name service timeout goal <<<"$name"
    routes+="${routes:+,}{\"Name\":\"$name\",\"Host\":\"soak.example\",\"PathPrefix\":\"/$name/\",\"Kind\":\"idempotent\","
    routes+="\"TimeoutMs\":$timeout,\"GoalMs\":$goal,\"Attempts\":3,\"ResumeStreams\":false,\"Service\":\"$service\"}"
  done
  curl -fs -X PUT "http://$store/admin/key?Key=op%2Fconfig" --data-binary "{\"Version\":1,\"Routes\":[$routes],
    \"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":$body_bytes,\"HeaderTimeoutMs\":30000,\"IdleTimeoutMs\":20000},
    \"Services\":[{\"Name\":\"app\"},{\"Name\":\"chat\"},{\"Name\":\"slow\"}]}"
  start server build/standin/standin-platform-server i-1 $server --platform=$store --service=app --zone=zone-1 \
    --runs="$work/runs"
  start big-server build/standin/standin-platform-server i-2 $big_server --platform=$store --service=chat --zone=zone-1 \
    --runs="$work/runs" --answer-bytes=1000000
  start slow-server build/standin/standin-platform-server i-3 $slow_server --platform=$store --service=slow --zone=zone-1 \
    --runs="$work/runs" --work-ms=20000 --slots=1000
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
  start_daemon "$programs/trefoil-gateway" "$work/host.toml"
  wait_for_url "http://$host:18081/"
  hostile_options=(--path=/write/1)
  [ "$kind" != unread_answers ] || hostile_options=(--path=/big/1)
  [ "$kind" != waiting_heads ] || hostile_options=(--path=/slow/1)
}
start_trefoild() {
  local number name
  start store build/standin/standin-store $store
  wait_for_url "http://$store/v1/list?prefix=none"
  start engine build/standin/standin-engine engine-1 $server --token-ms=5
  start app build/standin/standin-plain-service app-1 $big_server
  start slow build/standin/standin-plain-service slow-1 $slow_server --delay-ms=8000
  printf 'service = "rules"\n[[version]]\nversion = "v1"\nshare_percent = 100\n[[account]]\naccount = "directors"
credential_sha256 = "%s"\n[[backend_server]]\nserver = "engine-1"\nendpoint = "%s"\navailability_zone = "zone-1"
version = "v1"\n' "$(sha256_of secret)" $server >"$work/rules.toml"
  for name in app:$big_server slow:$slow_server; do
    printf 'service = "%s"\nkind = "plain"\n[[version]]\nversion = "v1"\nshare_percent = 100\n[[account]]\naccount = "directors"
credential_sha256 = "%s"\n[[backend_server]]\nserver = "%s-1"\nendpoint = "%s"\navailability_zone = "zone-1"
version = "v1"\n' "${name%%:*}" "$(sha256_of secret)" "${name%%:*}" "${name#*:}" >"$work/${name%%:*}.toml"
  done
  for name in rules app slow; do build/cmd/trefoilctl put "$work/$name.toml" --store=$store >/dev/null; done
  wait_for_url "http://$big_server/"
  wait_for_url "http://$slow_server/"
  # GET /history returns all recorded bodies, 1 MB.
  for number in $(seq 10); do
    head -c 100000 /dev/zero | tr '\0' "$((number - 1))" | curl -fs -o /dev/null "http://$big_server/" --data-binary @-
  done
  host_settings host zone-1 $host $store
  printf 'most_connections = %s\nmemory_mb = %s\nmost_body_bytes = %s\n' $most_connections $memory_mb $body_bytes \
    >>"$work/host.toml"
  start_daemon "$programs/trefoild" "$work/host.toml"
  wait_for_url "http://$host:18080/readyz"
  hostile_options=(--path=/v1/completions "--header=Authorization: Bearer secret")
  case $kind in
    unread_answers) hostile_options[0]=--path=/app/history ;;
    waiting_heads) hostile_options[0]=--path=/slow/1 ;;
    unread_small_answers | idle_after_large | many_requests) hostile_options[0]=--path=/app/1 ;;
  esac
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
# Connections that are being opened hold none, but the kernel may show a queue of some GB for them while it sets their sequence
# numbers.
kernel_bytes() {
  local address ip port own others
  address() { IFS=.: read -ra ip <<<"$1"; printf '%02X%02X%02X%02X:%04X' "${ip[3]}" "${ip[2]}" "${ip[1]}" "${ip[0]}" "${ip[4]}"; }
  own="$(address $host:18080) $(address $host:18081) $(address $host:17000) $(address $host:19100)"
  others="$(address $server) $(address $big_server) $(address $slow_server)"
  awk -v own="$own" -v others="$others" 'function hex(text, i, n) {
      for (i = 1; i <= length(text); i++) n = n * 16 + index("0123456789ABCDEF", substr(text, i, 1)) - 1
      return n }
    NR > 1 && $4 != "0A" && $4 != "02" && (index(own, $2) || index(others, $3)) { split($5, q, ":"); sum += hex(q[1]) + hex(q[2]) }
    END { printf "%.0f", sum }' /proc/net/tcp
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
fail() { echo "FAILED $daemon $kind $variant: $*"; failed=1; }
if [ "$daemon" = trefoil-gateway ]; then start_gateway; else start_trefoild; fi
served() { [ "$(ordinary_request)" = 200 ]; }
wait_until served
pid=$(pid_of host)
before=$(awk '/VmHWM/ { printf "%.0f", $2 * 1024 }' "/proc/$pid/status")
start crowd build/tests/hostile_clients/hostile-client "$kind" $target --clients=$clients --body-bytes=$body_bytes \
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
own=$(awk '/VmHWM/ { printf "%.0f", $2 * 1024 }' "/proc/$pid/status")
own=${own:-0}
[ $((own + peak_kernel)) -le $((memory_mb * 1000000)) ] || fail "held $((own + peak_kernel)) bytes"
[ $peak_descriptors -le $((most_connections + other_descriptors)) ] || fail "$peak_descriptors open descriptors"
sent=$(grep -o 'sent_bytes=[0-9]*' "$work/crowd.log" | cut -d= -f2 || echo 0)
if [[ $kind =~ over_limit|endless|empty_lines|bare_line_feeds ]] && [ "${sent:-0}" -gt $((clients * most_sent_bytes)) ]; then
  fail "the clients sent $sent bytes"
fi
logged=$(stat -c %s "$work/host.log")
[ "$logged" -le $most_log_bytes ] || fail "$logged bytes of log"
terminate host
check_ends || fail "unexpected end"
echo "$daemon $kind $variant: memory before $before, highest $own, kernel $peak_kernel bytes; descriptors $peak_descriptors; log $logged bytes;" \
  "ordinary $during, $after; $(grep settled "$work/crowd.log" || true)"
exit $failed
