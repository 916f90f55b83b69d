package soak_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"

	"dandeliondoor/soak"
)

// TestSeeds runs short soaks with fixed seeds. Seeds that failed once stay in the table,
// each with a comment on the cause.
func TestSeeds(t *testing.T) {
	t.Parallel()
	program := filepath.Join(t.TempDir(), "dandeliondoor")
	if output, err := exec.Command("go", "build", "-o", program, "dandeliondoor").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	for _, test := range []struct {
		name    string
		seed    uint64
		rounds  int
		daemons int
	}{
		// The soak waited forever for a daemon that got SIGTERM before it had installed its
		// signal handler.
		{name: "stopped right after its start", seed: 443, rounds: 3, daemons: 4},
		// Servers that ended while they ran several copies of what callers send counted
		// once for each copy, so that harmless requests were refused for up to a minute.
		{name: "servers end with many copies", seed: 931, rounds: 2, daemons: 4},
		// All servers cut their responses, which counted as servers that ended; each end of
		// the outage's first second prolonged the refusal, to five minutes.
		{name: "all responses cut", seed: 932, rounds: 3, daemons: 4},
		{name: "short run", seed: 1, rounds: 2, daemons: 3},
	} {
		// One at a time: the stand-ins of all of them would run in this process.
		t.Run(test.name, func(t *testing.T) {
			report, err := soak.Run(context.Background(), soak.Options{
				Seed: test.seed, Rounds: test.rounds, Daemons: test.daemons, Servers: test.daemons, Callers: 4, Program: program, Directory: t.TempDir(),
			})
			if err != nil {
				t.Fatal(err)
			}
			if len(report.Findings) > 0 || report.Served == 0 {
				t.Error(report)
			}
		})
	}
}
