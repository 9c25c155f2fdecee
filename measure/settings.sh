#!/usr/bin/env bash
# Measures real processes on loopback, with the four entries in two data centres of the demo. The arguments select the
# measurements, by default all: rest is the control traffic and platform calls without load, spread the time until all
# entries apply a changed setting, takeover the time until a duty has a new holder after the previous one was killed or
# frozen.
set -euo pipefail
cd "$(dirname "$0")/.."
logs=$(mktemp -d)
declare -A pids
finish() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$logs"
}
trap finish EXIT

start() { # name command...
  local name=$1
  shift
  "$@" 2>>"$logs/$name.log" >&2 &
  pids[$name]=$!
}

start_entry() { start "$1" bin/samphirekeel --settings "demo/$1.json"; }

keelctl() { bin/keelctl --entry 127.0.0.1:7101 --entry 127.0.0.1:7111 --entry 127.0.0.1:7121 --token demo-root "$@"; }

times() { # event pattern: prints the times in nanoseconds of log lines with the event number that match the pattern
  { grep -h "\"event\":$1," "$logs"/*-[12].log || true; } | { grep -E "$2" || true; } |
    sed 's/.*"time":"\([^"]*\)".*/\1/' | while read -r at; do date -d "$at" +%s%N; done
}

since() { # start: reads times in nanoseconds and prints the latest in milliseconds after start
  sort -n | tail -1 | awk -v start="$1" '{ printf "%d\n", ($1 - start) / 1000000 }'
}

holder() { # duty: prints the entry that acquired it with the highest epoch
  grep -H "\"event\":900," "$logs"/*-[12].log | grep "\"duty\":\"$1\"" |
    sed 's/^[^:]*\/\([^/]*\)\.log:.*"epoch":\([0-9]*\).*/\2 \1/' | sort -n | tail -1 | cut -d' ' -f2
}

metrics() { # prints counters summed over all entries by name and labels
  for port in 7101 7111 7121 7131; do curl -s "http://127.0.0.1:$port/metrics"; done |
    { grep -E '^samphirekeel_(control_bytes|platform_calls)_total' || true; } |
    awk '{ sum[$1] += $2 } END { for (name in sum) print name, sum[name] }' | sort
}

rest() {
  local seconds=30
  metrics >"$logs/before"
  sleep "$seconds"
  metrics >"$logs/after"
  echo "per second without load, sum of all 4 entries:"
  join "$logs/before" "$logs/after" | awk -v s="$seconds" '{ printf "%-100s %.1f\n", $1, ($3 - $2) / s }'
}

spread() {
  echo "time from the start of the command until all 4 entries applied the setting, in ms:"
  for i in $(seq 20); do
    start_ns=$(date +%s%N)
    revision=$(keelctl --json settings set quabbin "route.request_timeout=$i"s | sed -n 's/.*"revision": \([0-9]*\).*/\1/p')
    sleep 1
    [ "$(times 500 "\"revision\":$revision[,}]" | wc -l)" -eq 4 ] || echo "revision $revision is not applied by all 4 entries after 1 s"
    times 500 "\"revision\":$revision[,}]" | since "$start_ns"
  done | sort -n | awk '{ v[NR] = $1; if ($0 !~ /^[0-9]+$/) print } END { print "least " v[1] ", median " v[int((NR + 1) / 2)] ", most " v[NR] }'
}

takeover() {
  for signal in KILL STOP; do
    for i in 1 2 3; do
      victim=$(holder wave)
      start_ns=$(date +%s%N)
      kill "-$signal" "${pids[$victim]}"
      sleep 12
      echo "time from SIG$signal to holder $victim until another entry acquired duty wave, in ms: $(times 900 '"duty":"wave"' | since "$start_ns")"
      if [ "$signal" = KILL ]; then start_entry "$victim"; else kill -CONT "${pids[$victim]}"; fi
      sleep 15
    done
  done
  echo "sessions that another entry ended: $(times 905 . | wc -l)"
}

start platform bin/standin platform --fleet demo/fleet.json --power 127.0.0.1:7001
for entry in worcester-1 worcester-2 lowell-1 lowell-2; do start_entry "$entry"; done
until keelctl settings set quabbin >/dev/null 2>&1; do sleep 0.2; done
sleep 15

for measurement in ${*:-rest spread takeover}; do "$measurement"; done
