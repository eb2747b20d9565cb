#!/usr/bin/env bash
# Runs nine entry hosts in four availability zones. A document reaches all of them, and a backend server with a reclaim
# notice gets no new requests from any of them. The same holds while one zone has no connection to the store. A host that was
# paused catches up with the updates that it missed. Prints the duration of each step.
set -euo pipefail
. scripts/processes.sh
store=127.0.11.1:19000
cut_store=127.0.11.2:19000 # no process listens there
zones=(a a a b b c c d d)

document() { # document ACCOUNT: prints the document; documents differ by the account's name
  printf 'service = "rules"\n[[version]]\nversion = "v1"\nshare_percent = 100\n'
  printf '[[account]]\naccount = "%s"\ncredential_sha256 = "%s"\n' "$1" "$(sha256_of secret)"
  for i in 1 2 3 4; do
    printf '[[backend_server]]\nserver = "engine-%s"\nendpoint = "127.0.11.3:1910%s"\n' $i $i
    printf 'availability_zone = "zone-a"\nversion = "v1"\n'
  done
}

start_host() { # start_host INDEX STORE
  host_settings "host-$1" "zone-${zones[$1]}" "127.0.11.1$1" "$2" 127.0.11.10:17000 127.0.11.13:17000
  start "host-$1" build/cmd/trefoild "$work/host-$1.toml"
}

status_of() { curl -fs "http://127.0.11.1$1:18080/status"; }

all_show() { # all_show TEXT: succeeds if the status page of every host contains the text
  local i
  for i in 0 1 2 3 4 5 6 7 8; do status_of $i | grep -q -- "$1" || return 1; done
}

milliseconds() { echo $(($(date +%s%N) / 1000000)); }

measure() { # measure LABEL TEXT: waits until all hosts show the text and prints the duration
  local begin
  begin=$(milliseconds)
  wait_until all_show "$2"
  echo "$1: $(($(milliseconds) - begin)) ms"
}

put() { # put ACCOUNT: writes a document to the store and sets `revision`
  document "$1" >"$work/rules.toml"
  revision=$(build/cmd/trefoilctl put "$work/rules.toml" --store=$store | grep -o '[0-9]*$')
}

start store build/standin/standin-store $store
for i in 1 2 3 4; do start "engine-$i" build/standin/standin-engine "engine-$i" "127.0.11.3:1910$i"; done
wait_for_url "http://$store/v1/list?prefix=none"
put first
for i in 0 1 2 3 4 5 6 7 8; do start_host $i $store; done
for i in 0 1 2 3 4 5 6 7 8; do wait_for_url "http://127.0.11.1$i:18080/readyz"; done
wait_until all_show '"in_force_everywhere": true'

put second
measure "accepted to in force on nine hosts" "\"revision_in_force\": $revision"
measure "then until all hosts report it in force everywhere" '"in_force_everywhere": true'
curl -fs -X POST "http://127.0.11.3:19101/admin/leave?notice_ms=120000" >/dev/null
measure "reclaim notice to no new requests from nine hosts" '"server": "engine-1"'

echo "zone d is cut off from the store"
for i in 7 8; do
  kill "$(pid_of "host-$i")"
  end_of "host-$i"
  start_host $i $cut_store
done
for i in 7 8; do wait_for_url "http://127.0.11.1$i:18080/readyz"; done
put third
measure "accepted to in force on nine hosts" "\"revision_in_force\": $revision"
curl -fs -X POST "http://127.0.11.3:19102/admin/leave?notice_ms=120000" >/dev/null
measure "reclaim notice to no new requests from nine hosts" '"server": "engine-2"'

echo "host 1 is paused for ten seconds"
kill -STOP "$(pid_of host-1)"
put fourth
sleep 10
kill -CONT "$(pid_of host-1)"
measure "resumed to the document in force" "\"revision_in_force\": $revision"
wait_until all_show '"view_fresh": true'
wait_until all_show '"in_force_everywhere": true'
