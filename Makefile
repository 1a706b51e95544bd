# The commands a newcomer uses. Each needs Go, gcc, make and git only.

GO ?= go

.PHONY: all build test lint demo bench capacity

all: build

build:
	$(GO) build -o bin/ ./cmd/... ./test/cmd/...

test:
	$(GO) test -race ./...

lint:
	test -z "$$(gofmt -l cmd internal test)"
	$(GO) vet ./...
	cd tools && $(GO) build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck
	./bin/staticcheck ./...

demo: build
	./bin/demo -bin bin

# Speed and quality of the decisions. The Go benchmarks measure this machine;
# the driver runs in virtual time and prints the same figures on every machine.
bench:
	$(GO) test -run '^$$' -bench . -benchtime 3000x ./internal/request/placement
	$(GO) test -count 1 -v -run 'CostRatio|Eviction' ./test/naive
	$(GO) build -o bin/ ./test/cmd/bench
	./bin/bench

# Slopes for docs/CAPACITY.md, measured again on this machine.
capacity:
	$(GO) build -o bin/ ./test/cmd/capacity
	./bin/capacity
