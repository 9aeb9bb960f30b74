#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Wants the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/monsooncart target/review-3/release/rehearsal; do
    [ -x "$program" ] || { echo "missing: $program"; exit 2; }
done
exec target/review-3/release/rehearsal hedged review/11
