#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/7 and later start: review/site2, which uses the
# standard library only. The scripts also need the program as the deploy file builds it.
set -euo pipefail
cd "$(dirname "$0")/site2"
mkdir -p ../target
go build -o ../target/site2 .
