package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/decl"
	"dandeliondoor/firms"
	"dandeliondoor/kernel"
	"dandeliondoor/model"
	"dandeliondoor/proto"
	"dandeliondoor/stand"
)

// The size and the times of the demonstration.
const (
	demoDaemons      = 6
	demoCallers      = 6
	demoService      = 5 * time.Millisecond
	phaseLength      = 1200 * time.Millisecond
	leavingGrace     = 3 * time.Second
	requestTimeout   = 10 * time.Second
	repeatableEvery  = 3
	longRequestEvery = 25
)

// demoSizes are the counts of upstreams of each firm's services.
var demoSizes = firms.Sizes{First: 6, Second: 3}

// firm is one of the two deployments with what its callers send.
type firm struct {
	name     string
	zones    []string
	declare  func(sizes firms.Sizes, addresses firms.Addresses) *decl.Deployment
	services [2]string
	requests []Request
	long     Request
}

func bothFirms() []firm {
	return []firm{
		{
			name: "fes", zones: firms.FesZones(), declare: firms.Fes,
			services: [2]string{"souk-catalogue", "caisse-regie"},
			requests: []Request{
				{Method: http.MethodGet, Host: "souk.example", Path: "/lots/12", Account: "atlas"},
				{Method: http.MethodPost, Host: "souk.example", Path: "/bales", Body: "lot=12", Account: "saiss"},
				{Method: http.MethodPost, Host: "caisse.example", Path: "/payments", Body: "roaster=7", Account: "zerhoun"},
			},
			long: Request{Method: http.MethodGet, Host: "souk.example", Path: "/search/sleep-300ms", Account: "atlas"},
		},
		{
			name: "cantabria", zones: firms.CantabriaZones(), declare: firms.Cantabria,
			services: [2]string{"agenda", "caja"},
			requests: []Request{
				{Method: http.MethodGet, Host: "agenda.example", Path: "/schedules/3", Account: "bilbao-centro"},
				{Method: http.MethodPost, Host: "agenda.example", Path: "/visits", Body: "plant=9", Account: "oviedo-norte"},
				{Method: http.MethodPost, Host: "caja.example", Path: "/charges", Body: "invoice=4", Account: "oviedo-norte"},
			},
			long: Request{Method: http.MethodGet, Host: "agenda.example", Path: "/records/sleep-300ms", Account: "bilbao-centro"},
		},
	}
}

// tally is what callers of one firm saw.
type tally struct {
	mutex    sync.Mutex
	answered map[string]int
	notRun   map[string]int
	unknown  int
	broken   int
}

func newTally() *tally {
	return &tally{answered: make(map[string]int), notRun: make(map[string]int)}
}

func (t *tally) note(answer Response) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch {
	case answer.Err != nil:
		t.broken++
	case answer.Outcome == proto.OutcomeNotRun:
		t.notRun[answer.ID]++
	case answer.Outcome == proto.OutcomeUnknown:
		t.unknown++
	case answer.Status == http.StatusOK:
		t.answered[answer.ID]++
	}
}

// report is what became of one firm's demonstration.
type report struct {
	firm     string
	tally    *tally
	doubled  int
	lied     int
	afterOut int
	late     int
}

// Run shows both firms' deployments under failure and writes what happened as a
// table; it fails if a promise broke.
func Run(ctx context.Context, w io.Writer) error {
	all := bothFirms()
	reports := make([]report, len(all))
	ends := make([]<-chan error, len(all))
	for i := range all {
		ends[i] = kernel.Run(ctx, func(ctx context.Context) error {
			var err error
			reports[i], err = runFirm(ctx, &all[i])
			return err
		})
	}
	var failures []error
	for _, end := range ends {
		failures = append(failures, <-end)
	}
	if err := errors.Join(failures...); err != nil {
		return err
	}
	return writeReports(w, reports)
}

func runFirm(ctx context.Context, f *firm) (report, error) {
	fleet, err := NewFleet(ctx, Options{Daemons: demoDaemons, Zones: f.zones})
	if err != nil {
		return report{}, err
	}
	r, err := playFirm(ctx, f, fleet)
	return r, errors.Join(err, fleet.Stop())
}

// playFirm publishes the deployment, then breaks one thing after another under
// traffic.
func playFirm(ctx context.Context, f *firm, fleet *Fleet) (report, error) {
	r := report{firm: f.name, tally: newTally()}
	content, err := f.build(ctx, fleet)
	if err != nil {
		return r, err
	}
	if err := fleet.Publish(ctx, content); err != nil {
		return r, err
	}
	trafficCtx, stop := context.WithCancel(ctx)
	traffic := startTraffic(trafficCtx, f, fleet, r.tally)
	err = r.breakThings(ctx, fleet)
	stop()
	for _, end := range traffic {
		err = errors.Join(err, <-end)
	}
	r.audit(fleet)
	return r, err
}

// build starts the declared upstreams and returns the deployment with their
// addresses.
func (f *firm) build(ctx context.Context, fleet *Fleet) (model.Deployment, error) {
	draft, err := f.declare(demoSizes, firms.PrivateAddresses).Build()
	if err != nil {
		return draft, err
	}
	for i := range draft.Services {
		service := &draft.Services[i]
		for j := range service.Upstreams {
			upstream := &service.Upstreams[j]
			started, err := fleet.AddUpstream(ctx, upstream.Name, upstream.Zone, upstream.Slots, demoService)
			if err != nil {
				return draft, err
			}
			upstream.Address = started.VM.Address
		}
	}
	return draft, nil
}

// breakThings turns one upstream gray, lets one leave and stops one daemon.
func (r *report) breakThings(ctx context.Context, fleet *Fleet) error {
	gray, leaving := fleet.Upstreams[0], fleet.Upstreams[1]
	wait(ctx, phaseLength)
	gray.Faults.Set(stand.UpstreamFaults{FailEvery: 1})
	wait(ctx, phaseLength)
	before := len(gray.Runs())
	wait(ctx, phaseLength)
	r.late = len(gray.Runs()) - before
	fleet.SetLeaving(leaving, true)
	wait(ctx, leavingGrace)
	before = len(leaving.Runs())
	wait(ctx, phaseLength)
	r.afterOut = len(leaving.Runs()) - before
	err := fleet.StopDaemon(ctx, fleet.Daemons[0])
	wait(ctx, phaseLength)
	return err
}

// audit compares what ran with what callers were told.
func (r *report) audit(fleet *Fleet) {
	unrepeatable := make(map[string]int)
	for _, u := range fleet.Upstreams {
		for _, run := range u.Runs() {
			if run.Method == http.MethodPost {
				unrepeatable[run.RequestID]++
			}
			if r.tally.notRun[run.RequestID] > 0 {
				r.lied++
			}
		}
	}
	for _, count := range unrepeatable {
		if count > 1 {
			r.doubled++
		}
	}
}

// startTraffic sends mixed traffic through the daemons that are ready.
func startTraffic(ctx context.Context, f *firm, fleet *Fleet, t *tally) []<-chan error {
	var ends []<-chan error
	for number := range demoCallers {
		ends = append(ends, kernel.Run(ctx, func(ctx context.Context) error {
			caller := NewCaller()
			defer caller.Close()
			for i := number; ctx.Err() == nil; i++ {
				send(ctx, caller, f, fleet, t, i)
			}
			return nil
		}))
	}
	return ends
}

func send(ctx context.Context, caller *Caller, f *firm, fleet *Fleet, t *tally, i int) {
	request := f.requests[i%repeatableEvery]
	if i%longRequestEvery == 0 {
		request = f.long
	}
	d := fleet.Daemons[i%len(fleet.Daemons)]
	if d.Ready() != nil {
		return
	}
	// A request in flight outlives the end of the traffic.
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	t.note(caller.Call(limit, d, request))
}

func wait(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// writeReports prints the table and returns an error when a promise broke.
func writeReports(w io.Writer, reports []report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "WHAT HAPPENED\t"+names(reports)+"\tPROMISE")
	broken := 0
	for _, row := range []struct {
		what    string
		value   func(r *report) int
		promise string
		most    int
	}{
		{what: "requests answered", value: func(r *report) int { return len(r.tally.answered) }},
		{what: "refused as not run", value: func(r *report) int { return len(r.tally.notRun) }},
		{what: "called not run, yet run", value: func(r *report) int { return r.lied }, promise: "none"},
		{what: "unrepeatable, run twice", value: func(r *report) int { return r.doubled }, promise: "none"},
		{what: "answers cut off", value: func(r *report) int { return r.tally.broken }, promise: "none"},
		{what: "runs on the gray upstream after 1.2 s", value: func(r *report) int { return r.late }, promise: "few", most: 40},
		{what: "runs on the leaving upstream after 3 s", value: func(r *report) int { return r.afterOut }, promise: "none"},
	} {
		line := row.what
		for i := range reports {
			value := row.value(&reports[i])
			line += fmt.Sprintf("\t%d", value)
			if row.promise != "" && value > row.most {
				broken++
				line += " BROKEN"
			}
		}
		fmt.Fprintln(table, line+"\t"+row.promise)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	if broken > 0 {
		return errors.Errorf("%d promises broke", broken)
	}
	return nil
}

func names(reports []report) string {
	var all []string
	for _, r := range reports {
		all = append(all, strings.ToUpper(r.firm))
	}
	return strings.Join(all, "\t")
}
