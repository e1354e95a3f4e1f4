#!/bin/sh
# Regenerates the Go files of every .proto file. Needs protoc (Debian package protobuf-compiler).
set -eu
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
protoc --plugin="$bin/protoc-gen-go" -I . --go_out=.. --go_opt=module=github.com/guavaford/guavaford guavaford/v1/*.proto
