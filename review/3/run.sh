#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review/fleet ] && [ -x bin/porthub ] || { echo "run the deploy file's build and review/build.sh first" >&2; exit 2; }
timeout --signal=INT --kill-after=5 115 bin/review/fleet -scenario shrink -root . -record review/3/record.txt
code=$?
[ $code -le 2 ] || code=2
exit $code
