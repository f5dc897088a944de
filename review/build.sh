#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. It needs only the Go toolchain.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOWORK=off go build -o ../bin/standin .
