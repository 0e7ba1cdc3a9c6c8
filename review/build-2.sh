#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/standin-2 && GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-2 .)
