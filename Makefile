# SEEDS are the seeds of the specs with random faults, separated by spaces.
SEEDS ?= 1 2 3 4 5 6 7 8

.PHONY: test prove measure lint format
test:
	go test -p 2 -count=1 -timeout 60m ./...

# prove runs the specs of the promises, the properties that the system guarantees under faults; see
# test/suite_test.go.
prove:
	SEEDS="$(SEEDS)" go test -count=1 -timeout 120m -v ./test -ginkgo.focus='promise' -ginkgo.v -ginkgo.no-color

# measure runs the benchmarks and prints the figures of the specs that measure the system's load and
# compare its policies.
measure:
	go test -run '^$$' -bench . ./internal/...
	go test -count=1 -timeout 60m -v ./test -ginkgo.label-filter='measure || policy' -ginkgo.v -ginkgo.no-color | grep -E 'daemons|load:|policy|FAIL|ok'

lint:
	go vet ./...
	go tool -modfile=tools/go.mod staticcheck ./...

format:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
