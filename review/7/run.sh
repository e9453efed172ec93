#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/stand ] && [ -x target/router ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-2/stand -root . -record review/7/record.txt -trouble="$trouble" leave
