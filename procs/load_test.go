package procs_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dandeliondoor/proto"
)

// balancer simulates the platform's load balancer. It picks in turn from the daemons
// that were ready at the last refresh.
type balancer struct {
	f     *fleet
	mutex sync.Mutex
	ready []*daemonProcess
	next  int
}

// balancerInterval is the time between two readiness checks of the balancer.
const balancerInterval = 50 * time.Millisecond

func newBalancer(ctx context.Context, f *fleet) *balancer {
	b := &balancer{f: f}
	b.refresh()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(balancerInterval)
			b.refresh()
		}
	}()
	return b
}

func (b *balancer) refresh() {
	client := http.Client{Timeout: 200 * time.Millisecond}
	var ready []*daemonProcess
	for _, d := range b.f.daemons {
		response, err := client.Get("http://" + d.settings.Listen.Operators.String() + "/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			ready = append(ready, d)
		}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ready = ready
}

func (b *balancer) pick() *daemonProcess {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.ready) == 0 {
		return b.f.daemons[0]
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

// sample is the result of a request that a loadGenerator sent.
type sample struct {
	callResult
	daemon  string
	start   time.Time
	elapsed time.Duration
}

// outcome returns the value of the outcome header, which only responses of the
// daemon itself have.
func (s sample) outcome() proto.Outcome {
	return proto.Outcome(s.header.Get(proto.HeaderOutcome))
}

// loadGenerator sends requests from several concurrent callers.
type loadGenerator struct {
	f       *fleet
	pick    func() *daemonProcess
	workers sync.WaitGroup
	mutex   sync.Mutex
	samples []sample
}

// newLoadGenerator returns a generator that asks pick for the daemon of each request.
func newLoadGenerator(f *fleet, pick func() *daemonProcess) *loadGenerator {
	return &loadGenerator{f: f, pick: pick}
}

// start starts the given number of callers. Each sends one request after another
// until the context is cancelled.
func (l *loadGenerator) start(ctx context.Context, callers int, method, path string) {
	for range callers {
		l.workers.Go(func() {
			for ctx.Err() == nil {
				l.sendOne(method, path)
			}
		})
	}
}

func (l *loadGenerator) sendOne(method, path string) {
	d := l.pick()
	start := time.Now()
	a := l.f.call(d, method, path, "lot=12")
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.samples = append(l.samples, sample{callResult: a, daemon: d.settings.Name, start: start, elapsed: time.Since(start)})
}

// run sends requests until work returns. It returns the results of all requests.
func (l *loadGenerator) run(callers int, method, path string, work func()) []sample {
	ctx, cancel := context.WithCancel(context.Background())
	l.start(ctx, callers, method, path)
	work()
	cancel()
	l.workers.Wait()
	return l.samples
}

// checkResponses reports an error for each request that neither got a complete
// response from an upstream nor is excused. It returns how many got a response.
func checkResponses(t *testing.T, samples []sample, excused func(sample) bool) int {
	t.Helper()
	succeeded := 0
	for _, s := range samples {
		switch {
		case s.err == nil && s.status == http.StatusOK && strings.Contains(s.body, "souk-"):
			succeeded++
		case excused != nil && excused(s):
		default:
			t.Errorf("request through %s after %s: status %d, outcome %q, reason %q, error %v", s.daemon, s.elapsed.Round(time.Millisecond),
				s.status, s.outcome(), s.header.Get(proto.HeaderReason), s.err)
		}
	}
	return succeeded
}

// checkRuns compares the requests that ran on the upstreams with the responses to
// callers. A request with status 200 must have run exactly once, one with the outcome
// not-run never, and none more than once.
func (f *fleet) checkRuns(samples []sample) {
	f.t.Helper()
	counts := make(map[string]int)
	for _, u := range f.upstreams {
		for _, run := range f.runs(u) {
			counts[run.RequestID]++
		}
	}
	for _, s := range samples {
		id := s.header.Get(proto.HeaderRequestID)
		switch ran := counts[id]; {
		case id == "":
		case s.outcome() == proto.OutcomeNotRun && ran != 0:
			f.t.Errorf("request %s has the outcome not-run but ran %d times", id, ran)
		case s.err == nil && s.status == http.StatusOK && ran != 1:
			f.t.Errorf("request %s has status 200 but ran %d times, want once", id, ran)
		}
	}
	for id, ran := range counts {
		if ran > 1 {
			f.t.Errorf("request %s ran %d times, want at most once", id, ran)
		}
	}
}

// brokerOf waits for a daemon to become the broker of a pool and returns it.
func (f *fleet) brokerOf(pool string) *daemonProcess {
	f.t.Helper()
	var found *daemonProcess
	f.eventually("a broker of "+pool, func() bool {
		at := slices.IndexFunc(f.daemons, func(d *daemonProcess) bool {
			output, _ := f.runCommand("state", "--daemon", d.settings.Listen.Operators.String(), "--part", "broker")
			return strings.Contains(output, "key: "+pool)
		})
		if at >= 0 {
			found = f.daemons[at]
		}
		return at >= 0
	})
	return found
}
