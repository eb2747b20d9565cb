# Functions that start and stop processes on loopback. Source this file. It sets `work`, the path of a temporary folder, and
# an exit trap that stops all started processes and removes the folder.
#
#   . scripts/processes.sh
#   start store build/standin/standin-store 127.0.0.1:19000
#   wait_for_url http://127.0.0.1:19000/v1/list?prefix=none
#   kill -9 "$(pid_of store)"

work=$(mktemp -d)
started=()

stop_all() {
  local name
  for name in "${started[@]}"; do kill -CONT "$(pid_of "$name")" 2>/dev/null || true; done
  for name in "${started[@]}"; do kill "$(pid_of "$name")" 2>/dev/null || true; done
  for name in "${started[@]}"; do end_of "$name"; done
  rm -rf "$work"
}
trap stop_all EXIT

# end_of NAME: waits until the process has ended; kills it with SIGKILL after 30 s.
end_of() {
  local _ pid
  pid=$(pid_of "$1")
  for _ in $(seq 300); do
    kill -0 "$pid" 2>/dev/null || return 0
    sleep 0.1
  done
  kill -9 "$pid" 2>/dev/null || true
}

# start NAME PROGRAM ARGUMENTS...: runs a program in the background and appends its output to $work/NAME.log. A former process of
# that name must have ended. The exit status is written to $work/PID.status.
start() {
  local name=$1 former=""
  shift
  record_end "$name"
  [ ! -e "$work/$name.pid" ] || former=$(pid_of "$name")
  (
    "$@" >>"$work/$name.log" 2>&1 &
    pid=$! status=0
    echo $pid >"$work/$name.pid.new"
    mv "$work/$name.pid.new" "$work/$name.pid"
    wait $pid || status=$?
    echo $status >"$work/$pid.status"
  ) >/dev/null 2>&1 &
  disown
  until [ -e "$work/$name.pid" ] && [ "$(pid_of "$name")" != "$former" ]; do sleep 0.01; done
  started+=("$name")
}

pid_of() { cat "$work/$1.pid"; }

# expect_end NAME STATUS: from now on the process may end with this exit status, such as 0 after SIGTERM or 137 after SIGKILL.
# Has no effect on a process that has ended before.
expect_end() { [ -e "$work/$(pid_of "$1").status" ] || echo "$2" >>"$work/$(pid_of "$1").expected"; }

# record_end NAME: adds a line to $work/unexpected_ends if the process has ended with a status that was not expected.
record_end() {
  local pid
  [ -e "$work/$1.pid" ] || return 0
  pid=$(pid_of "$1")
  ! kill -0 "$pid" 2>/dev/null || return 0
  wait_until test -s "$work/$pid.status"
  grep -qx "$(cat "$work/$pid.status")" "$work/$pid.expected" 2>/dev/null ||
    echo "$1, process $pid, ended with status $(cat "$work/$pid.status")" >>"$work/unexpected_ends"
}

# terminate NAME...: sends SIGTERM to processes, waits until they have ended and expects the status 0.
terminate() {
  local name
  for name in "$@"; do
    expect_end "$name" 0
    kill "$(pid_of "$name")" 2>/dev/null || true
  done
  for name in "$@"; do end_of "$name"; done
}

# check_ends: prints the unexpected ends of all processes that were started, and fails if there are any.
check_ends() {
  local name
  for name in $(printf '%s\n' "${started[@]}" | sort -u); do record_end "$name"; done
  [ ! -e "$work/unexpected_ends" ] || { sort -u "$work/unexpected_ends"; return 1; }
}

# wait_for_url URL: waits until it answers without an HTTP error; fails after about 30 s.
wait_for_url() {
  local _
  for _ in $(seq 300); do
    if curl -fs -o /dev/null "$1"; then return 0; fi
    sleep 0.1
  done
  echo "no answer from $1" >&2
  tail -n 5 "$work"/*.log >&2
  return 1
}

# wait_until COMMAND...: waits until the command succeeds; fails after 300 attempts.
wait_until() {
  local _
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "no success within 300 attempts: $*" >&2
  return 1
}

# host_settings NAME ZONE IP STORE [SEED...]: writes the settings file of an entry host to $work/NAME.toml.
host_settings() {
  local name=$1 zone=$2 ip=$3 store=$4 seeds=""
  shift 4
  for seed in "$@"; do seeds+="\"$seed\", "; done
  cat >"$work/$name.toml" <<END
host = "$name"
availability_zone = "$zone"
listen = "$ip:18080"
peer_listen = "$ip:17000"
store = "$store"
seeds = [$seeds]
END
}

# start_rules_site SITE ENGINES: starts a store, ENGINES engines of the service `rules` and three entry hosts, and waits until
# the hosts are ready. SITE is a digit that selects the addresses and ports. The client account's credential is `secret`.
start_rules_site() {
  local site=$1 engines=$2 i
  local store=127.0.0.1:19${site}00
  start store build/standin/standin-store $store
  {
    printf 'service = "rules"\n[[version]]\nversion = "v1"\nshare_percent = 100\n'
    printf '[[account]]\naccount = "directors"\ncredential_sha256 = "%s"\n' "$(sha256_of secret)"
  } >"$work/rules.toml"
  for i in $(seq "$engines"); do
    start "engine-$i" build/standin/standin-engine "engine-$i" "127.0.0.1:19${site}1$i" --token-ms=20
    printf '[[backend_server]]\nserver = "engine-%s"\nendpoint = "127.0.0.1:19%s1%s"\n' "$i" "$site" "$i" >>"$work/rules.toml"
    printf 'availability_zone = "zone-a"\nversion = "v1"\n' >>"$work/rules.toml"
  done
  wait_for_url "http://$store/v1/list?prefix=none"
  build/cmd/trefoilctl put "$work/rules.toml" --store=$store
  for i in 1 2 3; do
    host_settings "host-$i" "zone-$i" "127.0.$site.$i" $store "127.0.$site.1:17000"
    start "host-$i" build/cmd/trefoild "$work/host-$i.toml"
  done
  for i in 1 2 3; do wait_for_url "http://127.0.$site.$i:18080/readyz"; done
}

sha256_of() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
