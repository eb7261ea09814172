#!/bin/sh
# Builds the stand-ins of the cases 6 to 10.
set -eu
cd "$(dirname "$0")/.."
go build -o out/cases-2 ./review/cases-2
