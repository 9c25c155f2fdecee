#!/usr/bin/env bash
# Plays a case: case.sh NAME FOLDER. The exit status is 1 if the rule was broken, 0 if it held and 2 if the case couldn't
# run. TROUBLE=0 plays it without the disruption.
set -u
root="$(cd "$(dirname "$0")/.." && pwd)"
for program in "$root/target/samphirekeel" "$root/review/bin/standin"; do
  [ -x "$program" ] || { echo "cannot run: $program is missing; run the build of deploy/system.toml and review/build.sh"; exit 2; }
done
"$root/review/bin/standin" "$1" "$root" "$2/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
