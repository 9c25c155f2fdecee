#!/usr/bin/env bash
# Measures routing on loopback with one entry and four endpoints of 8 slots, and stops what it started:
# route.sh latency [LEVEL], overload, freeze round_robin|entry, throughput [LEVEL]. LEVEL is the log level of the entry;
# with info, the default, it logs each routing decision. BASE_PORT is the first port.
set -euo pipefail
cd "$(dirname "$0")/.."
base_port=${BASE_PORT:-23000}
bin=bin
work_dir=$(mktemp -d)
declare -a pids=()
entry_pid=
finish() {
  status=$?
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "$status" -ne 0 ]; then tail -n 3 "$work_dir"/*.log | cut -c1-300; fi
  rm -rf "$work_dir"
  exit "$status"
}
trap finish EXIT

instance_json() { # number: prints one instance of the fleet file
  echo "{\"id\": \"wo-$1\", \"data_centre\": \"worcester\", \"rack\": \"r$1\", \"address\": \"127.0.0.1:$((base_port + 20 + $1))\","
  echo " \"size\": {\"milli_cores\": 16000, \"memory_mb\": 32768, \"accelerators\": 0}, \"slots\": 8, \"connections\": 256}"
}

start_all() { # level service_time: starts the stand-ins and the entry and applies the settings
  { echo "["; instance_json 0; echo ,; instance_json 1; echo ,; instance_json 2; echo ,; instance_json 3; echo "]"; } >"$work_dir/fleet.json"
  cat >"$work_dir/entry.json" <<JSON
{"name": "w1", "data_centre": "worcester", "data_centres": ["worcester"],
 "listen": {"callers": "127.0.0.1:$((base_port + 10))", "operators": "127.0.0.1:$((base_port + 11))", "peers": "127.0.0.1:$((base_port + 12))"},
 "platform": {"address": "127.0.0.1:$base_port", "timeout": "2s"},
 "operators": [{"name": "root-ops", "token": "root", "subtree": ""}],
 "log": {"format": "json", "level": "$1"}}
JSON
  echo '{"note": "bench", "edits": [{"path": "quabbin"}, {"path": "quabbin/floor-pool", "set": {"pool.instances": 4}},
    {"path": "quabbin/floor-pool/intake"}]}' >"$work_dir/tree.json"
  "$bin/standin" platform --listen "127.0.0.1:$base_port" --fleet "$work_dir/fleet.json" 2>"$work_dir/platform.log" &
  pids+=($!)
  "$bin/standin" endpoints --listen "127.0.0.1:$((base_port + 1))" --fleet "$work_dir/fleet.json" --work "$2" --slots 8 2>"$work_dir/endpoints.log" &
  pids+=($!)
  "$bin/samphirekeel" --settings "$work_dir/entry.json" 2>"$work_dir/entry.log" &
  entry_pid=$!
  pids+=("$entry_pid")
  until "$bin/keelctl" --entry "127.0.0.1:$((base_port + 11))" --token root settings apply -f "$work_dir/tree.json" --wait 5s >/dev/null 2>&1; do sleep 0.2; done
  sleep 4
}

entry_url="http://127.0.0.1:$((base_port + 10))/quabbin/intake/x"
endpoint_urls=$(for i in 0 1 2 3; do printf 'http://127.0.0.1:%d/x,' $((base_port + 20 + i)); done)
endpoint_urls=${endpoint_urls%,}
set_frozen() { # endpoint true|false: freezes the endpoint or resumes it
  curl -sf -X POST "http://127.0.0.1:$((base_port + 1))/power" -d "{\"address\": \"127.0.0.1:$((base_port + 20 + $1))\", \"frozen\": $2}"
}

case "$1" in
latency) # half of the capacity: 800 requests/s to the endpoints and 800 requests/s through the entry, at the same time
  start_all "${2:-info}" 10ms
  "$bin/standin" pace --stream "direct=$endpoint_urls" --stream "entry=$entry_url" --rate 800 --duration 20s
  ;;
overload) # the capacity, measured with 64 clients in a closed loop, then twice the capacity through the entry
  start_all warning 10ms
  "$bin/standin" pace --stream "capacity=$endpoint_urls" --method POST --rate 6400 --clients 64 --duration 5s
  "$bin/standin" pace --stream "entry=$entry_url" --method POST --rate 6400 --clients 2000 --duration 10s --pid "$entry_pid"
  ;;
freeze) # one of four endpoints is frozen at half of the capacity: round robin to the endpoints, or through the entry
  start_all warning 10ms
  "$bin/standin" pace --stream "warm=$entry_url" --method POST --rate 1600 --duration 2s >/dev/null
  set_frozen 2 true
  case "$2" in
  round_robin) "$bin/standin" pace --stream "round_robin=$endpoint_urls" --method POST --rate 1600 --clients 4000 --duration 10s ;;
  entry) "$bin/standin" pace --stream "entry=$entry_url" --method POST --rate 1600 --clients 4000 --duration 10s ;;
  esac
  ;;
throughput) # processor time of the entry at a fixed rate; compare levels info and warning for the cost of the log
  start_all "${2:-info}" 1ms
  "$bin/standin" pace --stream "entry=$entry_url" --rate 8000 --clients 500 --duration 10s --pid "$entry_pid"
  ;;
esac
