.PHONY: all bench check format plots test

all: check

# Runs all that CI runs.
check:
	.ci/run

# Formats all sources.
format:
	go tool -modfile=tools/go.mod golangci-lint fmt ./...

# Draws the pictures of docs/pictures from the journal.
plots:
	go run ./draw

# Runs the tests.
test:
	go test ./...

# Runs the measurements, one at a time.
bench:
	go test -run '^$$' -bench . -benchtime 1x -p 1 ./...
