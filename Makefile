# Tools are built once into TOOLS and shared by all checkouts on a machine.
TOOLS ?= $(or $(XDG_CACHE_HOME),$(HOME)/.cache)/medlargrade/tools
GOLANGCI_VERSION := v2.15.0
GOLANGCI := $(TOOLS)/golangci-lint-$(GOLANGCI_VERSION)

.PHONY: build test race lint fmt demo bench matrix soak tools generate

build:
	go build -o bin/ ./cmd/...

# SKIP, in the environment, is a pattern of tests to pass over. CI sets it from
# KNOWN-RED.txt.
# The comparisons of policies in ./experiment play long simulations in single goroutines, which
# take ten times as long under the race detector. They run without it; the other tests there run
# with it.
# The race detector of Go 1.26.8 crashes on arm64 in the bubbles of ./process now and then
# ("ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346"), so these tests run without it there.
WITHOUT_RACE := experiment$(if $(filter arm64,$(shell go env GOHOSTARCH)),|process)
test:
	go test -race $${SKIP:+-skip "$$SKIP"} $$(go list ./... | grep -vE '/($(WITHOUT_RACE))$$')
ifneq (,$(findstring process,$(WITHOUT_RACE)))
	go test $${SKIP:+-skip "$$SKIP"} ./process
endif
	go test -race -short $${SKIP:+-skip "$$SKIP"} ./experiment
	go test $${SKIP:+-skip "$$SKIP"} ./experiment

$(GOLANGCI):
	mkdir -p $(TOOLS)
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv $(TOOLS)/golangci-lint $(GOLANGCI)

tools: $(GOLANGCI)

lint: $(GOLANGCI)
	$(GOLANGCI) fmt --diff
	go vet ./...
	$(GOLANGCI) run ./...

fmt: $(GOLANGCI)
	$(GOLANGCI) fmt

demo: build
	bash scripts/demo.sh

# The fault matrix with more random sequences of faults.
SEEDS ?= 1000
matrix:
	MATRIX_SEEDS=$(SEEDS) go test ./matrix -count=1 -v -timeout 60m

# Random faults against the programs as separate processes. Without SEED, the seeds
# are fresh.
SOAKS ?= 50
SEED ?= $(shell date +%s)
soak: build
	bin/soak --seed $(SEED) --seeds $(SOAKS) --parallel 4

bench:
	go test -run '^$$' -bench . -benchmem ./...

# Needs protoc 3.21, protoc-gen-go v1.36.12 and protoc-gen-go-drpc v1.1.0 on the
# PATH. The generated code is committed, so that a build needs none of them.
generate:
	protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative \
		protocol/agentrpc/agent.proto
