#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/poplarvalved ] && [ -x target/standin2 ] || { echo "build first: the deploy file's build, then review/build-2.sh" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}"
timeout -k 1 118 target/standin2 repeat target/poplarvalved review/8/record.txt
status=$?
[ $status -le 2 ] || status=2 # Ended by timeout.
exit $status
