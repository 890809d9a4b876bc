#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build-2.sh. TROUBLE=0
# leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, and 2
# if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/marjoramshore ] && [ -x target/review-harness-2 ] || exit 2
exec target/review-harness-2 6 review/6/record.txt
