#!/bin/sh
# Regenerates the Go files of every .proto file. Editions need a newer compiler than Debian's protoc, so buf compiles them.
set -eu
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go run github.com/bufbuild/buf/cmd/buf@v1.50.0 generate . -o .. \
  --template "{\"version\":\"v2\",\"plugins\":[{\"local\":\"$bin/protoc-gen-go\",\"out\":\".\",\"opt\":\"module=github.com/guavaford/guavaford\"}]}"
