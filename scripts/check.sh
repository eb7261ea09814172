#!/bin/sh
# Runs the formatter, go vet, staticcheck and all tests with the race detector.
# Tests listed in KNOWN-RED.txt, in lines of the form "test: NAME", are skipped and their names printed.
set -eu
cd "$(dirname "$0")/.."

unformatted=$(gofmt -l cmd internal platform)
if [ -n "$unformatted" ]; then
	echo "check: these files are not formatted; run gofmt -w on them:"
	echo "$unformatted"
	exit 1
fi
go vet ./...
go tool staticcheck ./...

skip=''
if [ -f KNOWN-RED.txt ]; then
	names=$(sed -n 's/^test: *//p' KNOWN-RED.txt)
	for name in $names; do
		echo "check: skipping $name, which KNOWN-RED.txt lists as failing"
		skip="${skip:+$skip|}^$name\$"
	done
fi
if [ -n "$skip" ]; then
	go test -race -count=1 -timeout 20m -skip "$skip" ./...
else
	go test -race -count=1 -timeout 20m ./...
fi
