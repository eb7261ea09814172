#!/bin/sh
# Runs the commands of all "sh tour" code blocks in README.md unchanged. Any failing command fails the script.
set -eu
cd "$(dirname "$0")/.."
mkdir -p out
rm -f out/questionnaire.ini
awk '/^```sh tour$/ { inside = 1; next } /^```$/ { inside = 0 } inside' README.md > out/tour.sh
sh -eu out/tour.sh
echo "tour: 1 passed, 0 failed"
