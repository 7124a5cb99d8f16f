# The same commands as .ci/run, one by one.
LINT := $(shell go env GOPATH)/bin/golangci-lint

.PHONY: all format vet lint build test ci
all: format vet lint build test

format:
	gofmt -l -w .

vet:
	go vet ./...

lint:
	$(LINT) run ./...

build:
	go build ./...

test:
	go test -race -p 3 -count=1 -timeout 12m $(shell go list ./... | grep -v /integration/clients$$)
	go test -race -count=1 -timeout 20m ./integration/clients

ci:
	bash .ci/run
