#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOWORK=off go build -o ../bin/standin .
