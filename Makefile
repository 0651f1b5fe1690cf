# CGO_ENABLED: programs are linked to the C library.
export CGO_ENABLED = 1
BIN ?= bin
BENCHTIME ?= 50ms
BENCH ?= ./core/... ./io/daemon ./io/peer
GOPLS = v0.23.0

.PHONY: build run test lint bench experiment tools

build:
	go build -o $(BIN)/ ./cmd/...

run: build
	$(BIN)/standin demo

test:
	go test -count=1 ./...

# For renames across packages: gopls rename -w FILE:LINE:COLUMN NAME.
tools:
	go install golang.org/x/tools/gopls@$(GOPLS)

lint:
	golangci-lint fmt --diff
	golangci-lint run ./...

# Runs for a few minutes; docs/CAPACITY.md works from its figures.
bench:
	go test -run '^$$' -bench . -benchmem -benchtime $(BENCHTIME) $(BENCH)

# Measures clusters of real processes; the reports stay in $(BIN)/experiment.
experiment:
	PINETURN_EXPERIMENT_OUT=$(abspath $(BIN))/experiment go test -tags experiment -count=1 -v -timeout 30m ./experiment
