#!/bin/sh
# Runs each fuzz target for the time given as the argument, 10m by default. CI runs only their corpus, with the other tests.
set -eu
cd "$(dirname "$0")/.."
length=${1:-10m}
grep -rln '^func Fuzz' --include='*_test.go' internal platform | while read -r file; do
	for target in $(sed -n 's/^func \(Fuzz[A-Za-z]*\).*/\1/p' "$file"); do
		echo "fuzz: $target in $(dirname "$file") for $length"
		go test -run '^$' -fuzz "^$target\$" -fuzztime "$length" "./$(dirname "$file")"
	done
done
