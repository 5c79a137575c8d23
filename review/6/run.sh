#!/usr/bin/env bash
# Shows case 6. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 leaves out the outages of the store. Needs the build of the deploy file and
# review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
timeout --kill-after=5 110 target/review-2 target/tarragonridge start review/6/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
