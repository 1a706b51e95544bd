#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/standin2
