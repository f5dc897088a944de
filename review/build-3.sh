#!/usr/bin/env bash
# Builds the program that plays the cases 11 to 15 with the project's stand-ins. It runs after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review3 ./review/site3
