#!/bin/sh
# Builds the stand-ins that the cases start. The programs of the deploy file are built by its own command.
set -eu
cd "$(dirname "$0")/.."
go build -o review/out/ ./review/standin
