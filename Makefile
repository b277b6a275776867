DEPLOYMENT ?= harrowgate
BIN := bin
CHECKS ?= 5000
SEED ?= $(shell date +%s)
SEEDS ?= 20
SKIP ?=
PACKAGES ?= ./...

.PHONY: build demo test drill fuzz bench reducer generate ci

build:
	go build -o $(BIN)/ ./cmd/...

# demo runs the DEPLOYMENT sample as local processes.
demo: build
	$(BIN)/demo -deployment $(DEPLOYMENT) -bin $(BIN)

# test runs the tests of PACKAGES under the race detector, except those that match SKIP, in
# which make expands nothing.
test:
	go test -race -timeout 30m $(if $(value SKIP),-skip '$(value SKIP)') $(PACKAGES)

# drill runs the real program while the store returns from older copies of itself, with
# SEEDS seeds from SEED on. It prints the seeds.
drill:
	go test ./stand/drill -run '^TestStoreRestore$$' -timeout 120m -v -seed $(SEED) -seeds $(SEEDS)

# fuzz runs the property tests with CHECKS random cases, then the fuzz targets.
# It prints the seed; make fuzz SEED=N repeats the same cases.
fuzz:
	@echo "seed $(SEED)"
	go test ./simnet ./budget ./procs -timeout 60m -rapid.checks=$(CHECKS) -rapid.seed=$(SEED)
	go test ./intent -timeout 60m -run 'Model$$' -rapid.checks=$(CHECKS) -rapid.seed=$(SEED)
	go test ./proxy -timeout 60m -run 'Model$$' -rapid.checks=$(CHECKS) -rapid.seed=$(SEED)
	for target in FuzzSettings FuzzConfig FuzzTeams FuzzCredential FuzzNews FuzzAnswer; do \
		go test ./platform -run xxx -fuzz "^$$target\$$" -fuzztime 20s || exit 1; done
	go test ./proxy -run xxx -fuzz '^FuzzPeerMessages$$' -fuzztime 20s
	go test ./logs -run xxx -fuzz '^FuzzParse$$' -fuzztime 20s

# bench runs all experiments, writes their rows to docs/bench and prints a table
# that compares the modes of configuration distribution.
bench: build
	./bench/run.sh $(BIN) docs/bench

# reducer runs the Go benchmarks: the cost of an event and the size of the state at
# three fleet sizes.
reducer:
	go test ./core ./conf ./codec ./node -run xxx -bench . -benchtime 500ms

# generate regenerates package wire from its schema.
generate:
	protoc -I schema --go_out=wire --go_opt=paths=source_relative \
		--go-grpc_out=wire --go-grpc_opt=paths=source_relative schema/wire.proto

ci:
	.ci/run
