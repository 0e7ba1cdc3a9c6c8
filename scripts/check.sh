#!/usr/bin/env bash
# Checks format, lint and tests; the same verdict every time.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l cmd internal pkg)
if [ -n "$unformatted" ]; then
  echo "gofmt: not formatted: $unformatted" >&2
  exit 1
fi
go vet ./...
go tool staticcheck ./...
go test -race -timeout 240s ./...
