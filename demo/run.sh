#!/usr/bin/env bash
# Starts the stand-ins and the entries of two data centres on loopback, sends tickets while a setting changes and a
# wave runs, prints the report of the load tool, and stops what it started. Exits non-zero if a ticket did not run
# exactly once.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=bin
logs=$(mktemp -d)
pids=()
finish() {
  status=$?
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "$status" -ne 0 ]; then
    echo "demo: failed; the last lines of each log:"
    for log in "$logs"/*.log; do echo "--- ${log##*/}"; tail -n 5 "$log"; done
  fi
  rm -rf "$logs"
  exit "$status"
}
trap finish EXIT

start() { # name command...
  local name=$1
  shift
  "$@" 2>"$logs/$name.log" >&2 &
  pids+=($!)
}

retry() { # seconds command...: retries the command until it succeeds or the time is over
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >"$logs/retry.log" 2>&1; do
    if [ "$SECONDS" -ge "$deadline" ]; then cat "$logs/retry.log"; return 1; fi
    sleep 0.2
  done
}

keelctl() { "$bin/keelctl" --entry 127.0.0.1:7101 --token demo-root "$@"; }

in_service() { # count: succeeds if exactly that many instances are in service outside the spare pool
  local count
  count=$(keelctl --json status | grep -v spare | sed -n 's/.* held": \([0-9]*\).*/\1/p' | paste -sd+ | sed 's/^$/0/')
  [ "$((count))" -eq "$1" ]
}

start platform "$bin/standin" platform --fleet demo/fleet.json --power 127.0.0.1:7001 --reboot-time 500ms --list-lag 500ms
start endpoints "$bin/standin" endpoints --fleet demo/fleet.json
for entry in worcester-1 worcester-2 lowell-1 lowell-2; do
  start "$entry" "$bin/samphirekeel" --settings "demo/$entry.json"
done

echo "demo: settings"
retry 20 keelctl settings apply -f demo/tree.json --wait 5s
retry 30 in_service 14

echo "demo: tickets, while a setting changes and a wave runs"
"$bin/standin" load --tickets "${TICKETS:-3000}" --clients 24 --pause 100ms \
  --entry 127.0.0.1:7100 --entry 127.0.0.1:7110 --entry 127.0.0.1:7120 --entry 127.0.0.1:7130 \
  --service quabbin/intake --service quabbin/floor --service consortiul/croitorie --service consortiul/export \
  >"$logs/report.json" 2>"$logs/load.log" &
load_pid=$!
pids+=("$load_pid")
keelctl settings set quabbin route.request_timeout=8s --wait 5s
count_moves() { cat "$logs"/*.log | grep -c '"name":"pool_instance_moved"' || true; }
moves_before=$(count_moves)
start_ns=$(date +%s%N)
keelctl wave start --id spring quabbin/floor-pool consortiul/atelier-pool --wait 120s >"$logs/wave.json"
end_ns=$(date +%s%N)
wait "$load_pid" && load_status=0 || load_status=$?
cat "$logs/report.json"
echo "demo: roll-out time $(((end_ns - start_ns) / 1000000)) ms for $(sed -n 's/.*"instances": \([0-9]*\).*/\1/p' "$logs/wave.json") instances"
echo "demo: $(($(count_moves) - moves_before)) instances moved for it"
keelctl status | awk '$1 == "spare/spare" {spare += $3} END {printf "demo: buffer: %d spare instances held beside the pools\n", spare}'
if [ "$load_status" -ne 0 ]; then exit 1; fi
echo "demo: every ticket completed once"
