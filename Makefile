DEPLOYMENT ?= harrowgate
BIN := bin

.PHONY: build demo test fuzz lint

build:
	go build -o $(BIN)/ ./cmd/...

demo: build
	$(BIN)/demo -deployment $(DEPLOYMENT) -bin $(BIN)

test:
	go test ./...
