package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
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
	// faultTime is how long faults last, and maxFaultPause the longest wait
	// between two of a round.
	faultTime     = 3 * time.Second
	maxFaultPause = 1500 * time.Millisecond
	maxFaults     = 3
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

// Run soaks a fleet and returns what was found.
func Run(ctx context.Context, options Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newFleet(ctx, options)
	if err != nil {
		return Report{}, err
	}
	l := &ledger{}
	err = f.rounds(ctx, l)
	f.checkRuns(l)
	err = errors.Join(err, f.end(cancel))
	return Report{Served: l.served, Unserved: l.unserved, Findings: l.findings}, err
}

func (f *fleet) rounds(ctx context.Context, l *ledger) error {
	random := rand.New(rand.NewPCG(f.options.Seed, f.options.Seed))
	f.recover(ctx, l, "start")
	for round := range f.options.Rounds {
		faults := make([]Fault, 1+random.IntN(maxFaults))
		pauses := make([]time.Duration, len(faults))
		for i := range faults {
			faults[i] = draw(random, len(f.daemons), len(f.servers))
			pauses[i] = time.Duration(random.Int64N(int64(maxFaultPause)))
		}
		name := fmt.Sprintf("seed %d, round %d, %s", f.options.Seed, round, describe(faults))
		if err := f.round(ctx, l, faults, pauses, name); err != nil {
			return errors.Wrap(err, name)
		}
	}
	return nil
}

// round applies faults under load, heals them, and waits for the service.
func (f *fleet) round(ctx context.Context, l *ledger, faults []Fault, pauses []time.Duration, name string) error {
	loadCtx, stop := context.WithCancel(ctx)
	var callers []<-chan error
	for i := range f.options.Callers {
		callers = append(callers, kernel.Run(loadCtx, func(ctx context.Context) error { return f.load(ctx, l, i) }))
	}
	var failures []error
	for i, fault := range faults {
		failures = append(failures, f.apply(ctx, fault))
		sleep(ctx, pauses[i])
	}
	sleep(ctx, faultTime)
	if len(faults) == 1 {
		f.checkDrain(ctx, l, name)
	}
	failures = append(failures, f.heal())
	stop()
	for _, end := range callers {
		failures = append(failures, <-end)
	}
	f.recover(ctx, l, name)
	return errors.Join(failures...)
}

// checkDrain looks at a server that drains while nothing else is wrong: it gets
// no further request.
func (f *fleet) checkDrain(ctx context.Context, l *ledger, name string) {
	for _, s := range f.servers {
		if !s.draining {
			continue
		}
		sleep(ctx, time.Until(s.drained.Add(drainDue+drainSlack)))
		before := len(s.Runs())
		sleep(ctx, drainDue)
		if after := len(s.Runs()); after != before {
			l.find("%s: a draining server got %d requests", name, after-before)
		}
	}
}

// recover waits until each daemon serves by the newest configuration.
func (f *fleet) recover(ctx context.Context, l *ledger, name string) {
	due := time.Now().Add(recoveryDue)
	for _, d := range f.daemons {
		for !f.current(ctx, l, d, name) {
			if time.Now().After(due) {
				l.find("%s: %s does not serve version %d after %s", name, d.name, f.version, recoveryDue)
				break
			}
			sleep(ctx, recheck)
		}
	}
}

// current reports whether a daemon serves the newest configuration; one that
// served it must not serve an older one.
func (f *fleet) current(ctx context.Context, l *ledger, d *daemon, name string) bool {
	if f.version > 1 && d.newest == f.version {
		if status := l.call(ctx, d, http.MethodGet, "/"+versionRoute(f.version-1)+"/a"); status == http.StatusOK {
			l.find("%s: %s went back from version %d", name, d.name, d.newest)
		}
	}
	if l.call(ctx, d, http.MethodGet, "/"+versionRoute(f.version)+"/a") != http.StatusOK {
		return false
	}
	d.newest = f.version
	return l.call(ctx, d, http.MethodPost, "/bales/a") == http.StatusOK
}

// checkRuns compares the runs of all servers with what callers were told.
func (f *fleet) checkRuns(l *ledger) {
	total := make(map[string]int)
	for _, s := range f.servers {
		for id, count := range s.Runs() {
			total[id] += count
		}
	}
	for _, s := range f.servers {
		for id, count := range s.UnsafeRuns() {
			if count > 1 || total[id] > 1 {
				l.find("request %s, which may run once, ran %d times", id, total[id])
			}
		}
	}
	for _, id := range l.refused {
		if total[id] > 0 {
			l.find("request %s was refused and has run", id)
		}
	}
	slices.Sort(l.findings)
	l.findings = slices.Compact(l.findings)
}
