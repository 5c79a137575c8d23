#!/usr/bin/env bash
# Runs the case once. Needs the build of the deploy file and review/build-3.sh. Exit code: 1 if the
# rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3 ] && [ -x target/tarragonridge ] || exit 2
exec target/review-3 shared-part review/15
