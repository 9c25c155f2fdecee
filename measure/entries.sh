#!/usr/bin/env bash
# Measures the resources that entries use without load: entries.sh ENTRIES DATA_CENTRES INSTANCES [SECONDS].
# Starts the stand-in for the platform and the entries on loopback, waits until every instance has its row, measures an
# idle period, then the time to restart one entry, prints one row of a table, and stops what it started. BASE_PORT is the
# first port, LIMIT the seconds to wait for the rows.
set -euo pipefail
cd "$(dirname "$0")/.."
entries=$1
data_centres=$2
instances=$3
seconds=${4:-20}
base_port=${BASE_PORT:-21000}
bin=bin
work_dir=$(mktemp -d)
declare -a pids=()
finish() {
  status=$?
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "$status" -ne 0 ]; then tail -n 3 "$work_dir"/*.log | cut -c1-300; fi
  rm -rf "$work_dir"
  exit "$status"
}
trap finish EXIT

"$bin/standin" fleet --instances "$instances" --data-centres "$data_centres" >"$work_dir/fleet.json"
data_centre_names=$(for i in $(seq 0 $((data_centres - 1))); do printf '"dc-%02d",' "$i"; done)
data_centre_names=${data_centre_names%,}

port() { echo $((base_port + 10 + 3 * $1 + $2)); } # entry listener: 0 for callers, 1 for operators, 2 for peers

config() { # entry: prints its settings file; its peers are those of the first three entries other than itself
  local peers="" peer
  for peer in 0 1 2; do
    if [ "$peer" -ne "$1" ] && [ "$peer" -lt "$entries" ]; then peers+="\"127.0.0.1:$(port "$peer" 2)\","; fi
  done
  cat <<JSON
{"name": "e$1", "data_centre": "$(printf 'dc-%02d' $(($1 % data_centres)))", "data_centres": [$data_centre_names],
 "listen": {"callers": "127.0.0.1:$(port "$1" 0)", "operators": "127.0.0.1:$(port "$1" 1)", "peers": "127.0.0.1:$(port "$1" 2)"},
 "platform": {"address": "127.0.0.1:$base_port", "timeout": "5s"}, "peers": [${peers%,}],
 "operators": [{"name": "ops", "token": "capacity", "subtree": ""}], "log": {"format": "json", "level": "warning"}}
JSON
}

start_entry() {
  GOMAXPROCS=2 "$bin/samphirekeel" --settings "$work_dir/e$1.json" 2>>"$work_dir/e$1.log" &
  last_pid=$!
  pids+=("$last_pid")
}

keelctl() { "$bin/keelctl" --entry "127.0.0.1:$(port 0 1)" --token capacity "$@"; }

ready() { # entry: waits until it is ready and prints the time in milliseconds
  local start_ns=$(date +%s%N) deadline=$((SECONDS + 30))
  until curl -sf "http://127.0.0.1:$(port "$1" 1)/readyz" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$deadline" ]; then echo "entry $1 is not ready after 30 s" >&2; return 1; fi
    sleep 0.02
  done
  echo $((($(date +%s%N) - start_ns) / 1000000))
}

"$bin/standin" platform --listen "127.0.0.1:$base_port" --fleet "$work_dir/fleet.json" --adopted 2>"$work_dir/platform.log" &
pids+=($!)
for i in $(seq 0 $((entries - 1))); do
  config "$i" >"$work_dir/e$i.json"
  start_entry "$i"
done
ready 0 >/dev/null
keelctl settings set / route.queue_depth=100 >/dev/null
all_adopted() { # succeeds if the first entry counts all instances in service in the spare pool
  curl -sf -H "Authorization: Bearer capacity" "http://127.0.0.1:$(port 0 1)/v1/status" |
    grep -q "\"spare/spare held\":$instances[,}]"
}
deadline=$((SECONDS + ${LIMIT:-60}))
until all_adopted; do
  if [ "$SECONDS" -ge "$deadline" ]; then
    echo "some instances have no row after ${LIMIT:-60} s:"
    curl -s -H "Authorization: Bearer capacity" "http://127.0.0.1:$(port 0 1)/v1/status" | cut -c1-400
    exit 1
  fi
  sleep 0.5
done
sleep 5
probes=()
for i in $(seq 0 $((entries - 1))); do probes+=(--entry "127.0.0.1:$(port "$i" 1)"); done
"$bin/standin" probe "${probes[@]}" --for "${seconds}s" >"$work_dir/costs.json"
# The last entry is killed and restarted without any state.
kill -9 "$last_pid"
wait "$last_pid" 2>/dev/null || true
start_entry $((entries - 1))
restart_ms=$(ready $((entries - 1)))
echo "| $entries | $data_centres | $instances $("$bin/standin" probe --summary "$work_dir/costs.json") $restart_ms |"
