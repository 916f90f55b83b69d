package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/kernel"
)

// Options say how long and how large a soak is. Seed decides all that the soak
// itself decides.
type Options struct {
	Seed      uint64
	Rounds    int
	Daemons   int
	Servers   int
	Callers   int
	Program   string
	Directory string
}

// The times of a round.
const (
	// faultTime is how long faults last after the latest one began.
	faultTime = 3 * time.Second
	// recoveryDue is within which all daemons serve again after the faults. It
	// is the platform's 15 s, for machines that are busy with other work.
	recoveryDue = 15 * time.Second
	recheck     = 50 * time.Millisecond
	// drainSlack is what a leaving server's last request may take beyond the
	// time within which it is out of use, when nothing else is wrong.
	drainSlack = 3 * time.Second
)

// Report is the result of a soak.
type Report struct {
	Served   int
	Unserved int
	Findings []string
}

// String returns the report as lines.
func (r Report) String() string {
	text := fmt.Sprintf("served %d, not served %d, findings %d", r.Served, r.Unserved, len(r.Findings))
	return strings.Join(append([]string{text}, r.Findings...), "\n")
}

// Run soaks a fleet and returns what was found. The end of the context ends all
// processes.
func Run(ctx context.Context, options Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newFleet(ctx, options)
	if err != nil {
		return Report{}, err
	}
	l := &ledger{}
	err = f.rounds(ctx, l)
	l.verify(f.servers)
	return l.report(), errors.Join(err, f.end(cancel))
}

func (f *fleet) rounds(ctx context.Context, l *ledger) error {
	random := rand.New(rand.NewPCG(f.options.Seed, f.options.Seed))
	f.recover(ctx, l, "start")
	for round := range f.options.Rounds {
		events, planned := drawRound(random, len(f.daemons), len(f.servers))
		name := fmt.Sprintf("seed %d, round %d, %s", f.options.Seed, round, describe(events))
		if err := f.round(ctx, l, events, planned, name); err != nil {
			return errors.Wrap(err, name)
		}
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), name)
		}
	}
	return nil
}

// round lets events overlap under load, heals them, and waits for the service.
func (f *fleet) round(ctx context.Context, l *ledger, events []event, planned bool, name string) error {
	loadCtx, stop := context.WithCancel(ctx)
	var ends []<-chan error
	for i := range f.options.Callers {
		ends = append(ends, kernel.Run(loadCtx, func(ctx context.Context) error { return f.load(ctx, l, i, planned) }))
	}
	failure := f.play(ctx, events)
	sleep(ctx, faultTime)
	if len(events) == 1 {
		f.checkDrain(ctx, l, name)
	}
	failure = errors.Join(failure, f.heal())
	stop()
	for _, end := range ends {
		failure = errors.Join(failure, <-end)
	}
	f.recover(ctx, l, name)
	return failure
}

// play starts each event at its time and waits for all.
func (f *fleet) play(ctx context.Context, events []event) error {
	var ends []<-chan error
	for _, e := range events {
		ends = append(ends, kernel.Run(ctx, func(ctx context.Context) error {
			sleep(ctx, e.after)
			return f.apply(ctx, e.fault)
		}))
	}
	var failures []error
	for _, end := range ends {
		failures = append(failures, <-end)
	}
	return errors.Join(failures...)
}

// checkDrain looks at a server that drains while nothing else is wrong: it gets
// no further request.
func (f *fleet) checkDrain(ctx context.Context, l *ledger, name string) {
	for _, s := range f.servers {
		if s.drained.IsZero() {
			continue
		}
		sleep(ctx, time.Until(s.drained.Add(drainDue+drainSlack)))
		before := len(s.Arrivals())
		sleep(ctx, drainDue)
		if after := len(s.Arrivals()); after != before {
			l.find("%s: a draining server got %d requests", name, after-before)
		}
	}
}

// recover waits until each daemon serves by the newest configuration.
func (f *fleet) recover(ctx context.Context, l *ledger, name string) {
	due := time.Now().Add(recoveryDue)
	for _, d := range f.daemons {
		for ctx.Err() == nil && !f.serves(ctx, l, d) {
			if time.Now().After(due) {
				l.find("%s: %s does not serve version %d after %s", name, d.name, f.newest(), recoveryDue)
				break
			}
			sleep(ctx, recheck)
		}
	}
}

// serves reports whether a daemon serves both kinds of requests by the newest
// configuration.
func (f *fleet) serves(ctx context.Context, l *ledger, d *daemon) bool {
	return f.probe(ctx, l, d) && l.send(ctx, d, call{method: http.MethodPost}, "/bales/a", 0) == http.StatusOK
}
