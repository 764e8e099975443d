# The commands of a developer. All of them need Go alone.

GO ?= go
RED := $(shell scripts/known-red.sh)
SKIP := $(if $(RED),-skip '$(RED)')

SEEDS ?= 10
FIRST ?= $(shell date +%s)

.PHONY: build demo test check docs prove soak fuzz bench

build: ## builds the programs into bin/
	$(GO) build -o bin/ ./cmd/...

demo: build ## runs the whole path for both deployments on loopback
	scripts/demo.sh

test: check ## passes the formatter, the linter and all tests under the race detector
	$(GO) test -race $(SKIP) ./...

check:
	@test -z "$$(gofmt -l cmd internal platform)" || { echo "not formatted:"; gofmt -l cmd internal platform; exit 1; }
	scripts/check-imports.sh
	$(GO) vet ./...
	$(GO) vet -tags proof ./internal/prover
	$(GO) tool staticcheck ./...
	$(GO) tool staticcheck -tags proof ./internal/prover

docs: ## writes the pages of docs/ that are made from the code
	$(GO) test ./internal/commander -run TestPagesMatchTheCode -update

prove: build ## shows the promises on separate processes under failure; takes several minutes
	$(GO) test -tags proof -timeout 20m -v ./internal/prover

soak: ## plays fresh seeds of the fault soak, SEEDS of them from FIRST on
	$(GO) test ./platform -run 'TestSoak$$' -v -timeout 60m -soak-seeds $(SEEDS) -soak-first $(FIRST)

fuzz: ## fuzzes the readers of journals and documents, a minute each
	$(GO) test ./internal/journaler -run '^$$' -fuzz FuzzReadAll -fuzztime 1m
	$(GO) test ./internal/parser -run '^$$' -fuzz FuzzParse -fuzztime 1m

bench: ## measures the slopes that docs/CAPACITY.md uses
	$(GO) test -run '^$$' -bench . -benchmem ./...
