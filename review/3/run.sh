#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. The record is in record.txt, the logs of the gateways are in log-*.txt.
cd "$(dirname "$0")/../.." || exit 2
test -x target/plank-entry && test -x review/out/standin || { echo "build target/plank-entry and review/build.sh first"; exit 2; }
rm -f review/3/record.txt review/3/log-*.txt
test "${TROUBLE:-1}" = 0 && trouble=false || trouble=true
exec review/out/standin --root . --record review/3/record.txt --case late-entry-hang --trouble=$trouble
