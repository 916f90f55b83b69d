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
	"dandeliondoor/fakes"
	"dandeliondoor/kernel"
	"dandeliondoor/model"
	"dandeliondoor/proto"
	"dandeliondoor/sample"
)

// The size and timing of the demonstration.
const (
	daemonCount         = 6
	callerCount         = 6
	upstreamServiceTime = 5 * time.Millisecond
	phaseDuration       = 1200 * time.Millisecond
	leavingDelay        = 3 * time.Second
	requestTimeout      = 10 * time.Second
	requestsPerCycle    = 3
	longRequestEvery    = 25
)

// upstreamCounts holds the number of upstreams of each firm's services.
var upstreamCounts = sample.Sizes{First: 6, Second: 3}

// firm is one of the example deployments with the requests of its callers: a cycle
// of requests and a long one that is sent now and then.
type firm struct {
	name        string
	zones       []string
	declare     func(sizes sample.Sizes, addresses sample.Addresses) *decl.Deployment
	services    [2]string
	requests    []Request
	longRequest Request
}

func exampleFirms() []firm {
	return []firm{
		{
			name: "fes", zones: sample.FesZones(), declare: sample.Fes,
			services: [2]string{"souk-catalogue", "caisse-regie"},
			requests: []Request{
				{Method: http.MethodGet, Host: "souk.example", Path: "/lots/12", Account: "atlas"},
				{Method: http.MethodPost, Host: "souk.example", Path: "/bales", Body: "lot=12", Account: "saiss"},
				{Method: http.MethodPost, Host: "caisse.example", Path: "/payments", Body: "roaster=7", Account: "zerhoun"},
			},
			longRequest: Request{Method: http.MethodGet, Host: "souk.example", Path: "/search/sleep-300ms", Account: "atlas"},
		},
		{
			name: "cantabria", zones: sample.CantabriaZones(), declare: sample.Cantabria,
			services: [2]string{"agenda", "caja"},
			requests: []Request{
				{Method: http.MethodGet, Host: "agenda.example", Path: "/schedules/3", Account: "bilbao-centro"},
				{Method: http.MethodPost, Host: "agenda.example", Path: "/visits", Body: "plant=9", Account: "oviedo-norte"},
				{Method: http.MethodPost, Host: "caja.example", Path: "/charges", Body: "invoice=4", Account: "oviedo-norte"},
			},
			longRequest: Request{Method: http.MethodGet, Host: "agenda.example", Path: "/records/sleep-300ms", Account: "bilbao-centro"},
		},
	}
}

// responseCounts counts the responses that the callers of one firm received, by
// outcome. The maps are keyed by request ID.
type responseCounts struct {
	mutex      sync.Mutex
	succeeded  map[string]int
	notRun     map[string]int
	unknown    int
	incomplete int
}

func newResponseCounts() *responseCounts {
	return &responseCounts{succeeded: make(map[string]int), notRun: make(map[string]int)}
}

func (c *responseCounts) add(response Response) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case response.Err != nil:
		c.incomplete++
	case response.Outcome == proto.OutcomeNotRun:
		c.notRun[response.ID]++
	case response.Outcome == proto.OutcomeUnknown:
		c.unknown++
	case response.Status == http.StatusOK:
		c.succeeded[response.ID]++
	}
}

// report holds the results of one firm's demonstration. duplicated counts
// unrepeatable requests that ran more than once, wronglyNotRun the runs of requests
// that were reported as not run.
type report struct {
	firm              string
	responses         *responseCounts
	duplicated        int
	wronglyNotRun     int
	runsAfterEjection int
	runsAfterRemoval  int
}

// Run demonstrates how both example deployments behave under failure and writes
// the results as a table. It returns an error if a guarantee is violated.
func Run(ctx context.Context, w io.Writer) error {
	all := exampleFirms()
	reports := make([]report, len(all))
	results := make([]<-chan error, len(all))
	for i := range all {
		results[i] = kernel.Run(ctx, func(ctx context.Context) error {
			var err error
			reports[i], err = runFirm(ctx, &all[i])
			return err
		})
	}
	var errs []error
	for _, result := range results {
		errs = append(errs, <-result)
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	return writeReports(w, reports)
}

func runFirm(ctx context.Context, f *firm) (report, error) {
	fleet, err := NewFleet(ctx, Options{Daemons: daemonCount, Zones: f.zones})
	if err != nil {
		return report{}, err
	}
	r, err := runPhases(ctx, f, fleet)
	return r, errors.Join(err, fleet.Stop())
}

// runPhases publishes the deployment, then injects one fault after another under
// traffic.
func runPhases(ctx context.Context, f *firm, fleet *Fleet) (report, error) {
	r := report{firm: f.name, responses: newResponseCounts()}
	content, err := f.startUpstreams(ctx, fleet)
	if err != nil {
		return r, err
	}
	if err := fleet.Publish(ctx, content); err != nil {
		return r, err
	}
	trafficCtx, stop := context.WithCancel(ctx)
	traffic := startTraffic(trafficCtx, f, fleet, r.responses)
	err = r.injectFaults(ctx, fleet)
	stop()
	for _, result := range traffic {
		err = errors.Join(err, <-result)
	}
	r.checkRuns(fleet)
	return r, err
}

// startUpstreams starts the declared upstreams and returns the deployment with
// their actual addresses.
func (f *firm) startUpstreams(ctx context.Context, fleet *Fleet) (model.Deployment, error) {
	deployment, err := f.declare(upstreamCounts, sample.PrivateAddresses).Build()
	if err != nil {
		return deployment, err
	}
	for i := range deployment.Services {
		service := &deployment.Services[i]
		for j := range service.Upstreams {
			upstream := &service.Upstreams[j]
			started, err := fleet.AddUpstream(ctx, upstream.Name, upstream.Zone, upstream.Slots, upstreamServiceTime)
			if err != nil {
				return deployment, err
			}
			upstream.Address = started.VM.Address
		}
	}
	return deployment, nil
}

// injectFaults makes one upstream fail all requests, marks another one as leaving
// and stops one daemon. It counts the runs on both upstreams after the time in which
// the daemons should have stopped using them.
func (r *report) injectFaults(ctx context.Context, fleet *Fleet) error {
	failing, leaving := fleet.Upstreams[0], fleet.Upstreams[1]
	wait(ctx, phaseDuration)
	failing.Faults.Set(fakes.UpstreamFaults{FailEvery: 1})
	wait(ctx, phaseDuration)
	before := len(failing.Runs())
	wait(ctx, phaseDuration)
	r.runsAfterEjection = len(failing.Runs()) - before
	fleet.SetLeaving(leaving, true)
	wait(ctx, leavingDelay)
	before = len(leaving.Runs())
	wait(ctx, phaseDuration)
	r.runsAfterRemoval = len(leaving.Runs()) - before
	err := fleet.StopDaemon(ctx, fleet.Daemons[0])
	wait(ctx, phaseDuration)
	return err
}

// checkRuns compares the requests that the upstreams executed with the outcomes that
// callers received.
func (r *report) checkRuns(fleet *Fleet) {
	unrepeatable := make(map[string]int)
	for _, u := range fleet.Upstreams {
		for _, run := range u.Runs() {
			if run.Method == http.MethodPost {
				unrepeatable[run.RequestID]++
			}
			if r.responses.notRun[run.RequestID] > 0 {
				r.wronglyNotRun++
			}
		}
	}
	for _, count := range unrepeatable {
		if count > 1 {
			r.duplicated++
		}
	}
}

// startTraffic starts callers that send mixed requests to the ready daemons until
// the context ends.
func startTraffic(ctx context.Context, f *firm, fleet *Fleet, counts *responseCounts) []<-chan error {
	var results []<-chan error
	for first := range callerCount {
		results = append(results, kernel.Run(ctx, func(ctx context.Context) error {
			caller := NewCaller()
			defer caller.Close()
			for i := first; ctx.Err() == nil; i++ {
				send(ctx, caller, f, fleet, counts, i)
			}
			return nil
		}))
	}
	return results
}

func send(ctx context.Context, caller *Caller, f *firm, fleet *Fleet, counts *responseCounts, i int) {
	request := f.requests[i%requestsPerCycle]
	if i%longRequestEvery == 0 {
		request = f.longRequest
	}
	d := fleet.Daemons[i%len(fleet.Daemons)]
	if d.Ready() != nil {
		return
	}
	// Requests in flight are completed after the traffic has been stopped.
	requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	counts.add(caller.Call(requestCtx, d, request))
}

func wait(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// writeReports writes the table of results and returns an error if a guarantee is
// violated.
func writeReports(w io.Writer, reports []report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "RESULT\t"+header(reports)+"\tGUARANTEE")
	violations := 0
	for _, row := range []struct {
		label     string
		value     func(r *report) int
		guarantee string
		limit     int
	}{
		{label: "successful requests", value: func(r *report) int { return len(r.responses.succeeded) }},
		{label: "rejected as not run", value: func(r *report) int { return len(r.responses.notRun) }},
		{label: "reported as not run, but run", value: func(r *report) int { return r.wronglyNotRun }, guarantee: "none"},
		{label: "unrepeatable, run more than once", value: func(r *report) int { return r.duplicated }, guarantee: "none"},
		{label: "incomplete responses", value: func(r *report) int { return r.responses.incomplete }, guarantee: "none"},
		{
			label: "runs on the failing upstream after 1.2 s", value: func(r *report) int { return r.runsAfterEjection },
			guarantee: "at most 40", limit: 40,
		},
		{label: "runs on the leaving upstream after 3 s", value: func(r *report) int { return r.runsAfterRemoval }, guarantee: "none"},
	} {
		line := row.label
		for i := range reports {
			value := row.value(&reports[i])
			line += fmt.Sprintf("\t%d", value)
			if row.guarantee != "" && value > row.limit {
				violations++
				line += " VIOLATED"
			}
		}
		fmt.Fprintln(table, line+"\t"+row.guarantee)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	if violations > 0 {
		return errors.Errorf("%d guarantees violated", violations)
	}
	return nil
}

func header(reports []report) string {
	var names []string
	for _, r := range reports {
		names = append(names, strings.ToUpper(r.firm))
	}
	return strings.Join(names, "\t")
}
