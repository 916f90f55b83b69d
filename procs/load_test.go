package procs_test

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/proto"
)

// balancer simulates the platform's load balancer. It picks in turn from the daemons
// that were ready at the last refresh.
type balancer struct {
	f           *fleet
	mutex       sync.Mutex
	ready       []*daemonProcess
	refreshedAt time.Time
	next        int
}

const (
	// balancerInterval is the time between two readiness checks of the balancer.
	balancerInterval = 50 * time.Millisecond
	// maxReadyAge is the age of the list of ready daemons up to which the balancer picks
	// from it. It is half of the lag that the daemons allow for.
	maxReadyAge = 150 * time.Millisecond
	// balancerLag is what the daemons' settings allow for.
	balancerLag = 300 * time.Millisecond
)

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
	startedAt := time.Now()
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
	if startedAt.After(b.refreshedAt) {
		b.ready, b.refreshedAt = ready, startedAt
	}
}

// pick returns a daemon that was ready a moment ago, even if this process is too busy to
// refresh the list in time.
func (b *balancer) pick() *daemonProcess {
	if b.age() > maxReadyAge {
		b.refresh()
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.ready) == 0 {
		return b.f.daemons[0]
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

// connectedLate reports whether a request found the port of its daemon closed so long
// after it was picked that the daemon may have stopped since it was last checked. The
// daemons serve for balancerLag after they are no longer ready.
func connectedLate(s sample) bool {
	var dialError *net.OpError
	return errors.As(s.err, &dialError) && dialError.Op == "dial" && errors.Is(s.err, syscall.ECONNREFUSED) &&
		s.elapsed > balancerLag-maxReadyAge
}

// age returns the time since the list was refreshed.
func (b *balancer) age() time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return time.Since(b.refreshedAt)
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
