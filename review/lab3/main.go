package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseLimit bounds the time of a case.
const caseLimit = 118 * time.Second

// errBroken means that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// lab is what a case has at its disposal. Trouble is whether the disruption is played.
type lab struct {
	directory string
	record    *record
	trouble   bool
}

var cases = map[string]func(ctx context.Context, l *lab) error{
	"hung-broker": hungBroker,
	"lost-counts": lostCounts,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-lab3 CASE FOLDER")
		return exitFailed
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		return exitFailed
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	directory, err := os.MkdirTemp("", "review-lab3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(directory) }()
	} else {
		fmt.Println(directory)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseLimit)
	defer cancel()
	err = play(ctx, &lab{directory: directory, record: rec, trouble: os.Getenv("TROUBLE") != "0"})
	if ctx.Err() != nil {
		err = fmt.Errorf("the case did not come to its end: %w", ctx.Err())
	}
	code := exitHeld
	switch {
	case errors.Is(err, errBroken):
		code = exitBroken
	case err != nil:
		code = exitFailed
	}
	if err != nil {
		fmt.Println(err)
		rec.add("%v", err)
	} else {
		fmt.Println("the rule held")
		rec.add("the rule held")
	}
	if err := rec.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return code
}
