package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// limit ends a script that does not end by itself.
const limit = 110 * time.Second

// scenario runs a script and reports whether its rule was broken.
type scenario func(ctx context.Context, r *rig) (broken bool, err error)

func main() { os.Exit(run(os.Args[1:])) }

// run runs the script with the given name, which writes to the given record, and returns
// the exit code.
func run(arguments []string) int {
	scenarios := map[string]scenario{
		"forged": runForged,
		"late":   runLate,
		"repeat": runRepeat,
	}
	if len(arguments) != 2 || scenarios[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig SCRIPT RECORD")
		return exitFailed
	}
	broken, err := play(scenarios[arguments[0]], arguments[1])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the script could not run:", err)
		return exitFailed
	case broken:
		fmt.Fprintln(os.Stderr, "the rule was broken")
		return exitBroken
	default:
		fmt.Fprintln(os.Stderr, "the rule held")
		return exitHeld
	}
}

// play runs a script with a deployment of its own, without the disruption if the variable
// TROUBLE is 0.
func play(script scenario, record string) (broken bool, err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r, err := newRig(ctx, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, r.close()) }()
	return script(ctx, r)
}

// pause waits for a period or until the context ends.
func pause(ctx context.Context, period time.Duration) error {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
