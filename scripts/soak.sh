#!/bin/sh
# Builds the programs and runs the fault injection test with two seeds. A violated guarantee fails the script.
set -eu
cd "$(dirname "$0")/.."
go build -o out/ ./cmd/plank-entry ./cmd/plank-soak
./out/plank-soak --program out/plank-entry --seed 1 --seeds 2 --length 6s
echo "soak: 2 seeds passed"
