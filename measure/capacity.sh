#!/usr/bin/env bash
# Prints the measurements behind docs/CAPACITY.md: the resources that an entry uses with several numbers of entries and
# instances, and the benchmarks of single decisions at several sizes.
set -euo pipefail
cd "$(dirname "$0")/.."
echo "| entries | data centres | instances | CPU mean, % of a core | CPU worst | heap MB, worst | resident MB, worst | from platform KB/s | to platform KB/s | from peers KB/s | to peers KB/s | restart ms |"
echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
for run in "3 3 1000" "12 12 1000" "24 23 1000" "69 23 1000" "12 12 4000" "12 12 16000" "69 23 16000"; do
  # shellcheck disable=SC2086 # $run is split into three arguments
  LIMIT=90 measure/entries.sh $run "${PERIOD:-15}" 2>/dev/null
done
cd keel
for package in route job wave fleet peer; do
  go test "./$package" -run '^$' -bench . -benchtime 200ms | grep -E '^Benchmark' || true
done
