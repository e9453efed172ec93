#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-driver ] || { echo "run review/build.sh first" >&2; exit 2; }
if [ "${TROUBLE:-1}" = 0 ]; then
	disruption=without
else
	disruption=with
fi
exec target/review-driver crash-hang $disruption review/1/record.txt
