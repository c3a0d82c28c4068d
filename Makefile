# Targets: check (all tests and checks), demo, build, generate, fuzz, bench.
SHELL := /bin/bash
export CGO_ENABLED := 1
TOOLS := google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go \
	github.com/bufbuild/buf/cmd/buf mvdan.cc/gofumpt github.com/mgechev/revive honnef.co/go/tools/cmd/staticcheck

.PHONY: check demo build generate tools format lint test race bench fuzz
check: lint test

build:
	go build -o bin/ ./cmd/...

demo:
	go run ./cmd/mimosawharf demo

tools:
	@mkdir -p bin && cd tools && go build -o ../bin/ $(TOOLS)

generate:
	./generate.sh

# Fails on stale generated files, on unformatted code and on lint findings.
lint: tools
	./generate.sh
	@git diff --exit-code --stat -- pkg/api internal/settings/settings_gen.go docs/SETTINGS.md || { echo "generated code is stale: run make generate and commit"; exit 1; }
	@test -z "$$(git ls-files --others --exclude-standard -- pkg/api internal/settings docs)" || { echo "generated files are not committed"; exit 1; }
	@out=$$(bin/gofumpt -l $$(git ls-files '*.go' | grep -v '^pkg/api/')); test -z "$$out" || { echo "gofumpt: $$out"; exit 1; }
	bin/revive -config revive.toml -set_exit_status ./cmd/... ./internal/... ./pkg/...
	go vet ./...
	bin/staticcheck ./...

# Runs all tests except those that KNOWN-RED.txt lists, and prints that list.
test:
	@known=$$(awk -F'|' '!/^#/ && NF {gsub(/ /, "", $$1); print $$1}' KNOWN-RED.txt | paste -sd'|'); \
	if [ -n "$$known" ]; then echo "known to fail, left out:"; grep -v '^#' KNOWN-RED.txt; fi; \
	go test -race -count=1 $${known:+-skip "^($$known)$$"} ./...

bench:
	go test -run '^$$' -bench . -benchtime 1x ./...

# Runs each fuzz target for a short time. A failing input is stored in testdata/fuzz of its package.
FUZZTIME ?= 5s
fuzz:
	@for file in $$(git grep -l '^func Fuzz' -- '*_test.go'); do \
		for target in $$(sed -n 's/^func \(Fuzz[A-Za-z]*\)(.*/\1/p' $$file); do \
			echo "$$file $$target"; \
			go test -run '^$$' -fuzz "^$$target\$$" -fuzztime $(FUZZTIME) ./$$(dirname $$file) || exit 1; \
		done; \
	done
