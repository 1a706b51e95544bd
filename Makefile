# The commands for working on the project. They need only Go, gcc, make and git.

GO ?= go

.PHONY: all build test lint demo bench capacity

all: build

build:
	$(GO) build -o bin/ ./cmd/... ./test/cmd/...

# Passes over the tests that KNOWN-RED.txt lists, and prints the list. The simulations of
# internal/version/cell take several minutes of processor time with the race detector.
#
# The tests of test/overlimit measure the memory of a process, so that they run after the others.
test:
	skip=$$(.ci/known-red) && $(GO) test -race -timeout 20m -skip "$$skip" $$($(GO) list ./... | grep -v /test/overlimit$$)
	skip=$$(.ci/known-red) && $(GO) test -count 1 -skip "$$skip" ./test/overlimit

lint:
	test -z "$$(gofmt -l cmd internal platform test)"
	$(GO) vet ./...
	cd tools && $(GO) build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck
	./bin/staticcheck ./...

demo: build
	./bin/demo -bin bin

# Measures the speed and the quality of the scheduling decisions. The figures of
# the Go benchmarks depend on the machine. ./bin/bench runs in virtual time and
# prints the same figures on every machine.
bench:
	$(GO) test -run '^$$' -bench . -benchtime 3000x ./internal/request/placement
	$(GO) test -count 1 -v -run 'CostRatio|Eviction' ./test/naive
	$(GO) build -o bin/ ./test/cmd/bench
	./bin/bench

# Measures on this machine what each unit of state, message and decision costs, and
# prints the tables of docs/CAPACITY.md.
capacity:
	$(GO) build -o bin/ ./test/cmd/capacity
	./bin/capacity
