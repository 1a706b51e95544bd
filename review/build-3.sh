#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 11 to 15 into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin3 ./review/standin3
