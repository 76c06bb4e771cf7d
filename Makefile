GO ?= go
TOOLS := $(CURDIR)/.tools
GOLANGCI_LINT_VERSION := v2.15.0
SEED ?= 1
DURATION ?= 45s

.PHONY: build demo test unit race lint generate soak stutter known-red bench bench-rollouts bench-load bench-convergence bench-latency bench-capacity bench-returned-log

build:
	$(GO) build -o bin/ ./cmd/...

# Runs the whole system on one machine and checks it from outside.
demo: build
	bin/tamarackpitch-standin demo

# All checks with deterministic results.
test: lint unit race known-red

unit:
	$(GO) vet ./...
	$(GO) test -count=1 -timeout 20m ./...

race:
	$(GO) test -race -count=1 -timeout 20m ./pkg/... ./internal/... ./platform/...

lint: $(TOOLS)/golangci-lint-$(GOLANGCI_LINT_VERSION)
	@test -z "$$(gofmt -l cmd internal pkg platform)" || { gofmt -l cmd internal pkg platform; exit 1; }
	$(TOOLS)/golangci-lint-$(GOLANGCI_LINT_VERSION) run ./...

$(TOOLS)/golangci-lint-$(GOLANGCI_LINT_VERSION):
	mkdir -p $(TOOLS)
	GOBIN=$(TOOLS) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
	mv $(TOOLS)/golangci-lint $@

# Runs real processes under random load, faults and operator commands; not part of `make test`.
soak: build
	bin/tamarackpitch-standin soak --seed=$(SEED) --duration=$(DURATION)

# Runs real processes on the users' platform beside upstreams that respond twice, late, in part or malformed, while the configuration
# changes and the store returns from older copies; not part of `make test`, which runs it shortly (TestStutter).
stutter: build
	bin/tamarackpitch-standin stutter --seed=$(SEED) --duration=$(DURATION)

# Measurements; each prints key=value lines.
bench: bench-rollouts bench-load bench-convergence bench-latency bench-capacity bench-returned-log

bench-rollouts bench-load bench-convergence bench-latency bench-capacity bench-returned-log: bench-%: build
	bin/tamarackpitch-standin bench $*

# Needs buf, protoc-gen-go and protoc-gen-go-grpc; the generated code is committed.
generate:
	buf generate

known-red:
	@if [ -s KNOWN-RED.txt ]; then echo "known red:"; cat KNOWN-RED.txt; else echo "known red: none"; fi
