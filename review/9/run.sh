#!/usr/bin/env bash
# Runs the case "cold-outage" of review/harness2 and writes record.txt beside this script. TROUBLE=0 leaves the
# disruption out. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review-2/harness2 ] || exit 2
exec target/review-2/harness2 cold-outage "$here/record.txt"
