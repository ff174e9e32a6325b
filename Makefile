# Everyday commands. `make build` once, then `make demo`; `make test` proves.
MODULES := common control gateway lab platform schema sidecar toucanctl
LINT := GOWORK=off go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

.PHONY: regress soak-fleet reference setup build test lint format generate demo up bench soak

# setup fetches every library; all later commands work without the network.
setup:
	@for m in $(MODULES) tools; do (cd $$m && go mod download) || exit 1; done

# The platform's programs have the names of the product's, so they have a folder of
# their own: built into one, whichever was linked last would stay.
build:
	@mkdir -p bin/platform
	go build -o bin/ $(foreach m,$(filter-out platform,$(MODULES)),./$(m)/...)
	go build -o bin/platform/ ./platform/cmd/... ./platform/soak

# KNOWN-RED.txt, if there is one, names tests that fail for a known fault, one
# a line as "test: cause, issue", or "test/case: cause, issue" for a case of a
# table; they are passed over and printed. Nothing is
# taken from the cache: the failure tests start programs of other modules, whose
# changes the cache doesn't see, so an old pass could stand for a new fault.
# The replay runs each load in one goroutine; the race detector would make its minute ten.
# Tests of crowds measure the memory of processes and run alone, one after the other.
CROWDS := ^TestCrowd|^TestAcceptedJobsStay|^TestUnendedBodies
test:
	go vet work
	@known=; if [ -s KNOWN-RED.txt ]; then echo "passed over:"; cat KNOWN-RED.txt; \
	known=$$(cut -d: -f1 KNOWN-RED.txt | sed 's,/,$$/^,g; s/.*/^&$$/' | paste -sd'|'); fi; \
	set -x; go test -race -count=1 -timeout 20m -skip "$(CROWDS)$${known:+|$$known}" $$(go list work | grep -v /lab/pkg/replay$$) && \
	go test -count=1 -timeout 20m $${known:+-skip "$$known"} ./lab/pkg/replay && \
	go test -count=1 -timeout 20m -p 1 -run "$(CROWDS)" $${known:+-skip "$$known"} ./platform/e2e ./lab/failure

lint:
	@fumpt=$$(cd tools && GOWORK=off go tool gofumpt -l $(addprefix ../,$(MODULES)) | grep -v '/gen/'); \
	if [ -n "$$fumpt" ]; then echo "not formatted:"; echo "$$fumpt"; exit 1; fi
	@root=$$PWD; for m in $(filter-out schema,$(MODULES)); do echo "lint $$m"; (cd $$m && $(LINT) run --allow-parallel-runners -c $$root/.golangci.yml ./...) || exit 1; done

format:
	@cd tools && GOWORK=off go tool gofumpt -w $(addprefix ../,$(filter-out schema,$(MODULES)))

# reference writes the settings page from the code.
reference:
	TOUCANHINGE_UPDATE=1 go test -count=1 -run TestReferencePage ./control/pkg/config ./gateway/pkg/config ./sidecar/pkg/config

generate:
	cd tools && GOWORK=off go tool buf lint ../schema
	cd tools && GOWORK=off go tool buf generate ../schema --template ../schema/buf.gen.yaml -o ../schema

demo: build
	bin/demo --bin bin

up: build
	bin/demo --bin bin --up

bench: build
	bin/bench --bin bin --out bench/out

# regress compares this commit with an earlier one on deployments; see go run ./lab/cmd/regress --help.
regress:
	go run ./lab/cmd/regress $(REGRESS)

# soak runs the stateful fuzzing with a new seed, for long, and prints the seed;
# make soak SEED=7 CHECKS=100 repeats one run.
SEED = $(shell date +%s)
CHECKS = 2000
soak:
	@echo "seed $(SEED), $(CHECKS) checks for each property"
	go test -count=1 -timeout 120m -run 'Rapid|Fuzz' \
		$$(git grep -l pgregory.net/rapid -- '*_test.go' | xargs -n1 dirname | sort -u | sed 's/^/.\//') \
		-rapid.seed=$(SEED) -rapid.checks=$(CHECKS)

# soak-fleet runs the platform's programs under drawn faults and prints the seed;
# make soak-fleet SPAN=10m, or make soak-fleet FAULTSEED=7 to repeat the faults.
SPAN = 60s
FAULTSEED = 0
soak-fleet:
	@mkdir -p bin/platform
	go build -o bin/platform/ ./platform/cmd/... ./platform/soak
	bin/platform/soak --bin bin/platform --for $(SPAN) --seed $(FAULTSEED)
