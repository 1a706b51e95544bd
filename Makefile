# The commands a newcomer uses. Each needs Go, gcc, make and git only.

GO ?= go

.PHONY: all build test lint demo bench capacity

all: build

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) test -race ./...

lint:
	test -z "$$(gofmt -l cmd internal test)"
	$(GO) vet ./...
	cd tools && $(GO) build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck
	./bin/staticcheck ./...

demo: build
	./bin/demo -bin bin

capacity:
	$(GO) build -o bin/ ./test/cmd/capacity
	./bin/capacity
