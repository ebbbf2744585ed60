MODULES := fleet platform router sidecar cardamompulley standin experimenter
PROGRAMS := router sidecar cardamompulley standin experimenter
LINTER := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

# Tests listed in KNOWN-RED.txt are passed over; CI prints them.
RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|' -)
SKIP := $(if $(RED),-skip '^($(RED))$$',)

.PHONY: all build demo test soak prove measure slopes bench fmt lint cross generate

all: build

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -o bin/$$p ./$$p || exit 1; done

demo: build
	@bin/experimenter demo

test: build
	@CARDAMOMPULLEY_BIN=$(CURDIR)/bin go test -count=1 -timeout 5m $(SKIP) $(addprefix ./,$(addsuffix /...,$(MODULES)))

# SEEDS and FIRST choose the seeds of the soak; make test plays one.
SEEDS ?= 50
FIRST ?= 1

soak: build
	@CARDAMOMPULLEY_BIN=$(CURDIR)/bin go test -count=1 -timeout 60m -v -run TestSoakOfGateways ./experimenter/internal/launcher -soak-seeds $(SEEDS) -soak-first $(FIRST)

prove: build
	@bin/experimenter prove

measure: build
	@bin/experimenter measure

slopes: build
	@bin/experimenter slopes

bench: build
	@bin/experimenter bench

fmt:
	@gofmt -w $(MODULES)

lint:
	@test -z "$$(gofmt -l $(MODULES))" || { gofmt -l $(MODULES); echo "gofmt differs"; exit 1; }
	@for m in $(MODULES); do go vet ./$$m/... || exit 1; done
	@for m in $(MODULES); do (cd $$m && go run $(LINTER) run ./...) || exit 1; done

# Builds and vets all code and tests for each kind of machine that has to run them.
cross:
	@for a in amd64 arm64; do for m in $(MODULES); do \
		CGO_ENABLED=0 GOOS=linux GOARCH=$$a go build ./$$m/... || exit 1; \
		CGO_ENABLED=0 GOOS=linux GOARCH=$$a go vet ./$$m/... || exit 1; \
	done; done

generate:
	buf generate
