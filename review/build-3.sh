#!/usr/bin/env bash
# Builds the stand-in of the scripts of this review into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/stage"
mkdir -p ../bin
GOWORK=off go build -o ../bin/stage .
