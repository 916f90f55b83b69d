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

// Options configures a soak. Seed determines all random choices of the soak itself;
// Program is the daemon's executable, and Directory holds the settings and logs of
// the daemons.
type Options struct {
	Seed    uint64
	Rounds  int
	Daemons int
	Servers int
	Callers int
	// Sessions is the number of callers for each daemon that keep their connection open.
	// Without any there is no maintenance in series, either.
	Sessions int
	// Queue lets asks wait at the brokers.
	Queue     bool
	Program   string
	Directory string
}

// Times within a round.
const (
	// faultDuration is how long faults stay active after the last one was injected.
	faultDuration = 3 * time.Second
	// recoveryTimeout is the time within which all daemons must serve again after the
	// faults end. It is the platform's limit of 15 s, which allows for machines that
	// are busy with other work.
	recoveryTimeout = 15 * time.Second
	pollInterval    = 50 * time.Millisecond
	// drainSlack is the time that the last request of a draining server may take beyond
	// drainDue when there is no other fault.
	drainSlack = 3 * time.Second
)

// Report is the result of a soak. Cut counts the requests of which the daemon ended the
// connection without a response, and CutPassed those among them that reached a server.
// Announcing counts the responses that passed on a server's announcement that it leaves,
// and Rejected those that asked a daemon for a pause. Unkeyed counts the requests that were
// refused without a valid API key, and Limited those for the quota of their account.
// Downloads counts the large responses that slow callers got whole, and MemoryKB is the
// largest memory of a daemon in seeds with downloads. Stall is the longest time for which
// the soak's own process did not run.
type Report struct {
	Served    int
	Unserved  int
	Cut       int
	CutPassed int

	Announcing int
	Rejected   int
	Unkeyed    int
	Limited    int
	Downloads  int
	MemoryKB   int
	Stall      time.Duration
	Findings   []string
}

// String returns the counts and the findings, one per line.
func (r Report) String() string {
	text := fmt.Sprintf("served %d, not served %d, cut %d (passed on %d), announced ends %d, pauses %d, "+
		"without key %d, over quota %d, downloads %d, memory %d KB, longest stall %s, findings %d",
		r.Served, r.Unserved, r.Cut, r.CutPassed, r.Announcing, r.Rejected,
		r.Unkeyed, r.Limited, r.Downloads, r.MemoryKB, r.Stall.Round(time.Millisecond), len(r.Findings))
	return strings.Join(append([]string{text}, r.Findings...), "\n")
}

// Run runs a soak and returns its report. All processes end with the context.
func Run(ctx context.Context, options Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newFleet(ctx, options)
	if err != nil {
		return Report{}, err
	}
	r := f.recorder
	stalled, measured := kernel.Run(ctx, r.measureStalls), kernel.Run(ctx, f.measureMemory)
	err = f.runRounds(ctx, r)
	passes := passesByID(f.servers)
	f.verifyAccounts()
	r.verifyLosses(&f.history, passes)
	f.verifyHolds(passes)
	r.verify(f.servers)
	err = errors.Join(err, f.shutdown(cancel), <-stalled, <-measured)
	return r.report(passes), err
}

func (f *fleet) runRounds(ctx context.Context, r *recorder) error {
	source := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(f.options.Seed, stream)) }
	random, endless, maintenance := source(f.options.Seed), source(endlessStream), source(maintenanceStream)
	holds, wishes, restores := source(holdStream), source(wishStream), source(restoreStream)
	f.waitForRecovery(ctx, r, "start")
	f.setDisturbed(false)
	for round := range f.options.Rounds {
		events, planned := randomRound(random, len(f.daemons), len(f.servers))
		if !planned {
			events = append(events, randomEndless(endless, len(f.servers))...)
			events = append(events, randomWishes(wishes, len(f.servers))...)
			events = append(events, randomHolds(holds, len(f.servers))...)
			events = append(events, randomRestore(restores)...)
		}
		if f.options.Sessions > 0 && (planned || maintenance.IntN(2) == 0) {
			events = append(events, randomMaintenance(maintenance, len(f.daemons))...)
		}
		name := fmt.Sprintf("seed %d, round %d, %s", f.options.Seed, round, describe(events))
		if err := f.runRound(ctx, r, events, planned, name); err != nil {
			return errors.Wrap(err, name)
		}
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), name)
		}
	}
	return nil
}

// runRound injects events under load, ends the faults, and waits until the fleet has
// recovered.
func (f *fleet) runRound(ctx context.Context, r *recorder, events []event, planned bool, name string) error {
	loadCtx, stop := context.WithCancel(ctx)
	var results []<-chan error
	for i := range f.options.Callers {
		results = append(results, kernel.Run(loadCtx, func(ctx context.Context) error { return f.generateLoad(ctx, r, i, planned) }))
	}
	results = append(results, f.startAccountCallers(loadCtx, r, planned)...)
	results = append(results, f.startDownloads(loadCtx, r, planned)...)
	for i, d := range f.daemons {
		for j := range f.options.Sessions {
			random := rand.New(rand.NewPCG(f.options.Seed, sessionStream+uint64(i*f.options.Sessions+j)))
			s := &session{fleet: f, recorder: r, daemon: d, random: random, planned: planned}
			results = append(results, kernel.Run(loadCtx, s.run))
		}
	}
	disturbed := slices.ContainsFunc(events, disturbs)
	if disturbed {
		f.setDisturbed(true)
	}
	err := f.injectFaults(ctx, events)
	sleep(ctx, faultDuration)
	if len(events) == 1 {
		f.checkDrain(ctx, r, name)
	}
	err = errors.Join(err, f.clearFaults())
	stop()
	err = errors.Join(err, waitAll(results))
	f.waitForRecovery(ctx, r, name)
	if disturbed {
		f.setDisturbed(false)
	}
	f.checkCrashes(r, name)
	return err
}

// injectFaults injects each event's fault after its delay and waits for all of them.
func (f *fleet) injectFaults(ctx context.Context, events []event) error {
	var results []<-chan error
	for _, e := range events {
		results = append(results, kernel.Run(ctx, func(ctx context.Context) error {
			sleep(ctx, e.delay)
			return f.apply(ctx, e.fault)
		}))
	}
	return waitAll(results)
}

// waitAll waits for the ends of goroutines and returns their errors.
func waitAll(results []<-chan error) error {
	var errs []error
	for _, result := range results {
		errs = append(errs, <-result)
	}
	return errors.Join(errs...)
}

// checkDrain checks that a draining server gets no more requests. It is called only
// for rounds without other faults.
func (f *fleet) checkDrain(ctx context.Context, r *recorder, name string) {
	for _, s := range f.servers {
		if s.drainStart.IsZero() {
			continue
		}
		sleep(ctx, time.Until(s.drainStart.Add(drainDue+drainSlack)))
		before := len(s.Arrivals())
		sleep(ctx, drainDue)
		if after := len(s.Arrivals()); after != before {
			r.addFinding("%s: a draining server got %d requests", name, after-before)
		}
	}
}

// waitForRecovery waits until each daemon serves the newest configuration.
func (f *fleet) waitForRecovery(ctx context.Context, r *recorder, name string) {
	deadline := time.Now().Add(recoveryTimeout)
	for _, d := range f.daemons {
		for ctx.Err() == nil && !f.isServing(ctx, r, d) {
			if time.Now().After(deadline) {
				r.addFinding("%s: %s does not serve version %d after %s", name, d.name, f.newestVersion(), recoveryTimeout)
				break
			}
			sleep(ctx, pollInterval)
		}
	}
}

// isServing reports whether a daemon serves GET and POST requests with the newest
// configuration.
func (f *fleet) isServing(ctx context.Context, r *recorder, d *daemon) bool {
	return f.probeVersion(ctx, r, d) && r.send(ctx, d, f.keyedCall(http.MethodPost), "/bales/a", 0) == http.StatusOK
}
