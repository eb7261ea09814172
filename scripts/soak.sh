#!/bin/sh
# Builds the programs and runs the fault injection test with two seeds of all faults, and with one each of four faults in
# answers and of grants that a killed gateway had sent. A violated guarantee fails the script.
set -eu
cd "$(dirname "$0")/.."
go build -o out/ ./cmd/plank-entry ./cmd/plank-soak
./out/plank-soak --program out/plank-entry --seed 1 --seeds 2 --length 6s
./out/plank-soak --program out/plank-entry --seed 46 --length 4s --faults 'malformed answers'
./out/plank-soak --program out/plank-entry --seed 46 --length 4s --faults 'answers to uploads'
./out/plank-soak --program out/plank-entry --seed 53 --length 5s --faults 'reject uploads'
./out/plank-soak --program out/plank-entry --seed 50 --length 4s --faults 'any status'
./out/plank-soak --program out/plank-entry --seed 70 --length 10s --faults 'held back'
echo "soak: 7 runs passed"
