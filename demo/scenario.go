package demo

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
)

// The timing of the scenario. limit ends a run that does not end by itself.
const (
	limit         = 50 * time.Second
	phaseDuration = 2 * time.Second
	percent       = 100
	// minServedPercent is the share of requests, in percent, that must be served. The
	// faults of the scenario leave more than enough servers and daemons for all.
	minServedPercent = 95
)

// report is the result of a run. wronglyNotRun counts requests that ran although the
// caller was told that they did not, repeatedWrites writes that ran more than once,
// afterDrain requests that a draining server got too late, and servedAfterLoss those
// that were served after a daemon was lost.
type report struct {
	counts          *counts
	wronglyNotRun   int
	repeatedWrites  int
	afterDrain      int
	servedAfterLoss int
}

// Run starts a fleet of daemons, lets one of its servers drain and kills one of the
// daemons, all under load, and writes what happened. The program is the executable of the
// daemons; the directory gets their settings and logs. It returns an error if a guarantee
// is violated.
func Run(ctx context.Context, w io.Writer, program, directory string) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began := time.Now()
	printf := func(format string, arguments ...any) {
		fmt.Fprintf(w, "%5.1f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, arguments...))
	}
	printf("starting %d daemons (processes) and stand-ins for the store and %d servers", daemonCount, serverCount)
	f, err := newFleet(ctx, program, directory)
	var r report
	if err == nil {
		r, err = f.runScenario(ctx, printf)
	}
	if err = errors.Join(err, f.shutdown(ctx)); err != nil {
		return err
	}
	printf("the remaining daemons have stopped")
	return r.write(w)
}

// runScenario runs the events under load and checks what the servers ran.
func (f *fleet) runScenario(ctx context.Context, printf func(format string, arguments ...any)) (report, error) {
	l := newLoad(f)
	defer l.client.CloseIdleConnections()
	r := report{counts: &l.counts}
	if err := l.waitReady(ctx); err != nil {
		return r, err
	}
	printf("all daemons are ready; %d callers send requests", callerCount)
	loadCtx, stop := context.WithCancel(ctx)
	results := l.start(loadCtx)
	err := r.runEvents(ctx, f, printf)
	stop()
	for _, result := range results {
		err = errors.Join(err, <-result)
	}
	if err == nil {
		err = ctx.Err()
	}
	r.checkRuns(f)
	return r, err
}

// runEvents lets a server drain, and later kills a daemon.
func (r *report) runEvents(ctx context.Context, f *fleet, printf func(format string, arguments ...any)) error {
	sleep(ctx, phaseDuration)
	draining := f.servers[0]
	printf("%d requests served; server %s drains", r.served(), draining.ID())
	if err := draining.Register(f.store, true); err != nil {
		return err
	}
	sleep(ctx, drainDue)
	before := len(draining.Arrivals())
	sleep(ctx, phaseDuration)
	r.afterDrain = len(draining.Arrivals()) - before
	lost := f.daemons[0]
	printf("%d requests served; daemon %s is killed", r.served(), lost.name)
	if err := lost.kill(); err != nil {
		return err
	}
	before = r.served()
	sleep(ctx, phaseDuration)
	r.servedAfterLoss = r.served() - before
	printf("%d requests served; the load ends", r.served())
	return nil
}

func (r *report) served() int {
	r.counts.mutex.Lock()
	defer r.counts.mutex.Unlock()
	return r.counts.served
}

// checkRuns compares the requests that the servers ran with what the callers were told.
// The load must have ended.
func (r *report) checkRuns(f *fleet) {
	writes := make(map[string]int)
	for _, server := range f.servers {
		for id := range server.Runs() {
			if _, rejected := r.counts.notRun[id]; rejected {
				r.wronglyNotRun++
			}
		}
		for id, count := range server.UnsafeRuns() {
			writes[id] += count
		}
	}
	for _, count := range writes {
		if count > 1 {
			r.repeatedWrites++
		}
	}
}

// write writes the results as a table and returns an error if a guarantee is violated.
func (r *report) write(w io.Writer) error {
	c := r.counts
	total := c.served + c.failed + c.lost + c.incomplete + c.foreign + len(c.notRun)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nRESULT\tREQUESTS\tGUARANTEE")
	violations := 0
	for _, row := range []struct {
		label     string
		value     int
		guarantee string
		kept      bool
	}{
		{"sent", total, "", true},
		{"served", c.served, fmt.Sprintf("at least %d%%", minServedPercent), c.served*percent >= total*minServedPercent},
		{"served after a daemon was lost", r.servedAfterLoss, "some", r.servedAfterLoss > 0},
		{"on the daemon that was lost, without a response", c.lost, "", true},
		{"rejected without having run", len(c.notRun), "", true},
		{"other errors", c.failed, "", true},
		{"rejected as not run, but run", r.wronglyNotRun, "none", r.wronglyNotRun == 0},
		{"writes that ran more than once", r.repeatedWrites, "none", r.repeatedWrites == 0},
		{"incomplete responses of the other daemons", c.incomplete, "none", c.incomplete == 0},
		{"responses to other requests", c.foreign, "none", c.foreign == 0},
		{fmt.Sprintf("on the draining server after %s", drainDue), r.afterDrain, "none", r.afterDrain == 0},
	} {
		verdict := row.guarantee
		if !row.kept {
			violations++
			verdict += " VIOLATED"
		}
		fmt.Fprintf(table, "%s\t%d\t%s\n", row.label, row.value, verdict)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	if violations > 0 {
		return errors.Errorf("%d guarantees violated", violations)
	}
	return nil
}
