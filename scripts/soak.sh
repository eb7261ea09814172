#!/bin/sh
# Plays a few seeds of the fault soak on freshly built programs. A broken promise fails the script.
set -eu
cd "$(dirname "$0")/.."
go build -o out/ ./cmd/plank-entry ./cmd/plank-soak
./out/plank-soak --program out/plank-entry --seed 1 --seeds 2 --length 6s
echo "soak: 2 seeds passed"
