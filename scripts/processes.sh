# Starts and stops the processes of a run on loopback. Source it; it sets `work`, a folder that is removed at
# the end, and stops what was started when the script ends, however it ends.
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

# end_of NAME: waits until the process has ended, and ends it by force after a while.
end_of() {
  local _ pid
  pid=$(pid_of "$1")
  for _ in $(seq 300); do
    kill -0 "$pid" 2>/dev/null || return 0
    sleep 0.1
  done
  kill -9 "$pid" 2>/dev/null || true
}

# start NAME PROGRAM ARGUMENTS...: runs a program in the background, with its output in $work/NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  echo $! >"$work/$name.pid"
  disown
  started+=("$name")
}

pid_of() { cat "$work/$1.pid"; }

# wait_for_url URL: waits until it answers 200.
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

# wait_until COMMAND...: waits until the command succeeds.
wait_until() {
  local _
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "never: $*" >&2
  return 1
}

# host_settings NAME ZONE IP STORE [SEED...]: writes the settings of an entry host to $work/NAME.toml.
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

sha256_of() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
