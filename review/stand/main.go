package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestRun is the time after which a case is ended.
const longestRun = 115 * time.Second

// scenario runs a case, with or without its disruption, and reports whether the rule was broken.
type scenario func(ctx context.Context, l *lab, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"clock":         runClock,
	"forged-entry":  runForgedEntry,
	"late-writes":   runLateWrites,
	"lost-machines": runLostMachines,
	"spoiled":       runSpoiled,
}

func main() { os.Exit(run(os.Args)) }

// run runs the scenario that the first argument names and writes the record to standard output.
func run(arguments []string) int {
	if len(arguments) != 2 || scenarios[arguments[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand SCENARIO")
		return exitNotRun
	}
	log := &recorder{file: os.Stdout, start: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := newLab(ctx, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(longestRun):
		}
		log.printf("could not run to its end")
		l.end()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	log.printf("disruption: %t", trouble)
	broken, err := scenarios[arguments[1]](ctx, l, trouble)
	switch {
	case err != nil:
		log.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		log.printf("result: rule broken")
		return exitBroken
	default:
		log.printf("result: rule held")
		return exitHeld
	}
}
