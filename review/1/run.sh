#!/bin/sh
# TROUBLE=0 does the same without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standins ] && [ -x target/release/pistachiotrack-platform ] || exit 2
case "${TROUBLE:-1}" in
0) TROUBLE=0 ;;
*) TROUBLE=1 ;;
esac
export TROUBLE
exec target/review/standins extra-answer review/1/record.txt
