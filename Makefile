DEPLOYMENT ?= harrowgate
BIN := bin
CHECKS ?= 5000
SEED ?= $(shell date +%s)

.PHONY: build demo test fuzz bench reducer generate ci

build:
	go build -o $(BIN)/ ./cmd/...

demo: build
	$(BIN)/demo -deployment $(DEPLOYMENT) -bin $(BIN)

test:
	go test -race ./...

# fuzz plays fresh histories and prints the seed that repeats them.
fuzz:
	@echo "seed $(SEED)"
	go test ./proof -timeout 60m -rapid.checks=$(CHECKS) -rapid.seed=$(SEED)

# bench prints the comparison of the ways of distribution and keeps the rows.
bench: build
	./bench/run.sh $(BIN) docs/bench

# reducer prints the cost of an event and the state's size at three sizes.
reducer:
	go test ./mesh ./conf ./codec ./node -run xxx -bench . -benchtime 500ms

generate:
	protoc -I schema --go_out=wire --go_opt=paths=source_relative \
		--go-grpc_out=wire --go-grpc_opt=paths=source_relative schema/wire.proto

ci:
	.ci/run
