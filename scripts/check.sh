#!/usr/bin/env bash
# Checks formatting, lint and tests; the result is reproducible.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l cmd internal pkg platform)
if [ -n "$unformatted" ]; then
  echo "gofmt: not formatted: $unformatted" >&2
  exit 1
fi
go vet ./...
go tool staticcheck ./...
# Skips the tests that KNOWN-RED.txt lists by name, and prints the list at the end.
red=$(sed -n 's/^- test: \([A-Za-z0-9_]*\).*/^\1$/p' KNOWN-RED.txt | paste -sd '|')
# The model of quotas has one goroutine and takes ten times as long with the race detector. The tests of memory start processes
# whose memory they measure, so nothing runs beside them.
model=/mtquotas
alone=/mtmemorytest
go test -race -timeout 240s ${red:+-skip "$red"} $(go list ./... | grep -v -e "$model\$" -e "$alone\$")
go test -timeout 240s ${red:+-skip "$red"} "./internal/node$model"
go test -timeout 240s ${red:+-skip "$red"} "./platform$alone"
# Fuzzing is bounded by the number of inputs, so that its verdict does not depend on the speed of the machine.
fuzz() {
  go test -run '^$' -fuzz "^$2\$" -fuzztime 20000x -fuzzminimizetime 100x "./internal/adapter/$1"
}
fuzz mtresponsehead FuzzHead
fuzz mtresponsehead FuzzChunks
fuzz mtingress FuzzRequests
echo "Known to be red:"
cat KNOWN-RED.txt
