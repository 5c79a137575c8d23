#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tarragonridge ] && [ -x target/review-harness ] || exit 2
exec target/review-harness crowd review/4
