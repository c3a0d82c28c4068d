#!/usr/bin/env bash
# Generates the code and the settings page from the schema.
set -euo pipefail
cd "$(dirname "$0")"
make -s tools
# The generator uses the options package, so plain Go code is generated first.
if [ ! -f pkg/api/mimosawharf/options/v1/options.pb.go ]; then
  bin/buf generate --template '{"version":"v2","managed":{"enabled":true,"override":[{"file_option":"go_package_prefix","value":"github.com/mimosawharf/mimosawharf/pkg/api"}]},"plugins":[{"local":"bin/protoc-gen-go","out":"pkg/api","opt":"paths=source_relative"}]}'
fi
go build -o bin/protoc-gen-mimosawharf ./cmd/protoc-gen-mimosawharf
bin/buf lint
bin/buf generate
bin/gofumpt -w $(find pkg/api internal/settings -name '*_gen.go')
