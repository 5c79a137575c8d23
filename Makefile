# Targets for developers. `make test` is the test command of the README.

GO ?= go
# TESTFLAGS are further flags of `go test`.
TESTFLAGS ?=

.PHONY: build test dev lint

build:
	$(GO) build -o bin/tarragonridge ./cmd/tarragonridge

test:
	$(GO) test -race -timeout 20m $(TESTFLAGS) ./...

dev:
	$(GO) run ./cmd/tarragonridge dev

lint:
	gofmt -l cmd internal platform scenarios
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
