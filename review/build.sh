#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin/; it needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off CGO_ENABLED=0 go build -o ../bin/standin .
