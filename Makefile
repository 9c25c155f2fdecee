# Builds, checks and runs the project; "make help" lists the targets.
MODULES := keel entry keelctl platform standin
GOLANGCI_VERSION := v2.15.0
TESTFLAGS ?=

# Names of the platform's protocol, which may be used only under platform/, and words of the user documentation, for
# which the code uses the terms of docs/GLOSSARY.md.
WIRE_NAMES := run-start|run-stop|rows-tx|rows-get|rows-feed|blob-put|machine-move|machine-upkeep|expectedRevision|enforcesCapacity|pathPrefix|lastSeen|fencingToken|deadlineMs|targetLatencyMs|mayMiss|antiAffinity|remainingMs
USER_WORDS := minion|work unit|fence number|allowance|liveness check|disturbance|payoff|confirmation|lifetime|consumer|back end

.PHONY: all help build test red race lint vocabulary fmt demo capacity tools update tidy clean

all: build lint test

help:
	@echo "build test red race lint vocabulary fmt demo capacity update tidy clean"

build:
	mkdir -p bin
	go build -o bin/samphirekeel ./entry
	go build -o bin/keelctl ./keelctl
	go build -o bin/standin ./standin

# Tests that KNOWN-RED.txt lists as "go test ... -run NAME: ..." are skipped by the target test; the target red runs
# them.
KNOWN_RED_TESTS := $(shell sed -n 's/^go test .* -run \([^ :]*\):.*/\1/p' KNOWN-RED.txt | paste -sd'|')

# Tests that measure the memory of real processes run after the others, one at a time.
CROWD_TESTS := ^TestCrowds$$

test: build
	go test -skip='$(CROWD_TESTS)$(if $(KNOWN_RED_TESTS),|$(KNOWN_RED_TESTS))' $(TESTFLAGS) $(MODULES:%=./%/...)
	go test -run='$(CROWD_TESTS)' $(if $(KNOWN_RED_TESTS),-skip='$(KNOWN_RED_TESTS)') $(TESTFLAGS) ./entry

red:
	go test $(if $(KNOWN_RED_TESTS),-run='$(KNOWN_RED_TESTS)') -v ./keel/schedule ./keel/forecast ./entry/daemon ./entry/site ./entry

race:
	go test -race -skip='$(CROWD_TESTS)' $(TESTFLAGS) $(MODULES:%=./%/...)

lint: tools
	@unformatted=$$(gofmt -l $(MODULES)); if [ -n "$$unformatted" ]; then echo "not formatted by gofmt:"; echo "$$unformatted"; exit 1; fi
	golangci-lint run $(MODULES:%=./%/...)

vocabulary:
	@if git grep -nIE '$(WIRE_NAMES)' -- '*.go' ':!platform'; then echo "the lines above use names of the platform's protocol outside platform/"; exit 1; fi
	@if git grep -nIiwE '($(USER_WORDS))s?' -- '*.go' ':!platform'; then echo "the lines above use words of the user documentation; use the terms of docs/GLOSSARY.md"; exit 1; fi

fmt:
	gofmt -w $(MODULES)

tools:
	@command -v golangci-lint >/dev/null 2>&1 || go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

demo: build
	demo/run.sh

# Measures the resources that entries and decisions use, for docs/CAPACITY.md; takes about five minutes.
capacity: build
	measure/capacity.sh

# Regenerates the golden files and the pages that are generated from the code.
update:
	go test ./keel/... -update

tidy:
	for module in $(MODULES); do (cd $$module && go mod tidy); done

clean:
	rm -rf bin
