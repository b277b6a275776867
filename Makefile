DEPLOYMENT ?= harrowgate
BIN := bin
CHECKS ?= 5000
SEED ?= $(shell date +%s)
SKIP ?=

.PHONY: build demo test fuzz bench reducer generate ci

build:
	go build -o $(BIN)/ ./cmd/...

demo: build
	$(BIN)/demo -deployment $(DEPLOYMENT) -bin $(BIN)

# test runs all tests but those that SKIP names.
test:
	go test -race -timeout 30m $(if $(SKIP),-skip '$(SKIP)') ./...

# fuzz plays fresh histories and prints the seed that repeats them.
fuzz:
	@echo "seed $(SEED)"
	go test ./simnet ./budget -timeout 60m -rapid.checks=$(CHECKS) -rapid.seed=$(SEED)
	for target in FuzzSettings FuzzConfig FuzzNews FuzzAnswer; do \
		go test ./platform -run xxx -fuzz "^$$target\$$" -fuzztime 20s || exit 1; done
	go test ./logs -run xxx -fuzz '^FuzzParse$$' -fuzztime 20s

# bench prints the comparison of the ways of distribution and keeps the rows.
bench: build
	./bench/run.sh $(BIN) docs/bench

# reducer prints the cost of an event and the state's size at three sizes.
reducer:
	go test ./core ./conf ./codec ./node -run xxx -bench . -benchtime 500ms

generate:
	protoc -I schema --go_out=wire --go_opt=paths=source_relative \
		--go-grpc_out=wire --go-grpc_opt=paths=source_relative schema/wire.proto

ci:
	.ci/run
