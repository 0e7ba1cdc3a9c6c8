#!/usr/bin/env bash
# Generates the Go code of proto/ with pinned generators. The output is committed, so the build doesn't run this.
# Requires protoc 3.21 (Debian package protobuf-compiler).
set -euo pipefail
cd "$(dirname "$0")/.."
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
export GOBIN=$tools
go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
go install connectrpc.com/connect/cmd/protoc-gen-connect-go@v1.21.1
go install github.com/twitchtv/twirp/protoc-gen-twirp@v8.1.3+incompatible
module=github.com/mangotack/mangotack
run() { PATH="$tools:$PATH" protoc -I proto --go_out=. --go_opt=module=$module "$@"; }
run proto/mangotack/{record,settings}/v1/*.proto
run --connect-go_out=. --connect-go_opt=module=$module proto/mangotack/{platform,entry,sample,standin}/v1/*.proto
run --twirp_out=. --twirp_opt=module=$module proto/mangotack/peer/v1/*.proto
