.PHONY: build test lint ci demo

build:
	go build -o bin/hatchplank ./cmd/hatchplank

test:
	go test ./...

lint:
	test -z "$$(go tool gofumpt -l .)"
	go vet ./...
	go tool staticcheck ./...

ci: lint test

demo: build
	./bin/hatchplank experiment demo
