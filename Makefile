# go test runs every test; SKIP takes a regular expression of system tests to pass over.
SKIP ?=
SEEDS ?= 1 2 3

.PHONY: test lint format
test:
	go test -count=1 -timeout 30m $$(go list ./... | grep -v /test$$)
	go test -count=1 -timeout 60m ./test -ginkgo.skip='$(SKIP)'

lint:
	go vet ./...
	go tool -modfile=tools/go.mod staticcheck ./...

format:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
