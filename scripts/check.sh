#!/bin/sh
# Runs the formatter, go vet, staticcheck and all tests with the race detector.
# Tests that KNOWN-RED.txt names in lines "test: NAME" are skipped and printed.
set -eu
cd "$(dirname "$0")/.."

unformatted=$(gofmt -l cmd internal platform)
if [ -n "$unformatted" ]; then
	echo "check: run gofmt -w on these files:"
	echo "$unformatted"
	exit 1
fi
go vet ./...
go tool staticcheck ./...

skip=''
if [ -f KNOWN-RED.txt ]; then
	names=$(sed -n 's/^test: *//p' KNOWN-RED.txt)
	for name in $names; do
		echo "check: skipped as known red: $name"
		skip="${skip:+$skip|}^$name\$"
	done
fi
if [ -n "$skip" ]; then
	go test -race -count=1 -timeout 20m -skip "$skip" ./...
else
	go test -race -count=1 -timeout 20m ./...
fi
