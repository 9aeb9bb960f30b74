#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out; the stand-ins read it from the environment.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
harness=target/review/release/review-harness
[ -x "$harness" ] && [ -x target/release/monsooncart ] || { echo "not built: see review/build.sh" >&2; exit 2; }
exec "$harness" endless-body review/4
