#!/bin/sh
# Runs the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
SILVERGATE="$(cd ../.. && pwd)/target/silvergate"
[ -x "$SILVERGATE" ] && [ -x ../../target/review/case3 ] || exit 2
export SILVERGATE
exec ../../target/review/case3
