#!/usr/bin/env bash
# Shows case 6. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 leaves out the outages of the store.
cd "$(dirname "$0")/../.." || exit 2
exec timeout --kill-after=5 110 env TROUBLE="${TROUBLE:-1}" target/review-2 target/tarragonridge start review/6/record.txt
