#!/bin/sh
# Builds the stand-ins that the scripts start. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
exec go build -tags review -o review/bin/standin ./review/standin
