#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/monsooncart target/review-2/release/drill; do
    test -x "$program" || { echo "$program is missing" >&2; exit 2; }
done
target/review-2/release/drill stop review/10 &
drill=$!
# The drill ends its processes itself, unless the script is stopped before its end. It is halted first,
# so that it starts no more of them.
end_all() {
    kill -STOP "$drill"
    for process in $(cat /proc/"$drill"/task/*/children) "$drill"; do
        kill -KILL "$process"
    done
    exit 2
}
trap end_all HUP INT TERM
wait "$drill"
