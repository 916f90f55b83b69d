package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"dandeliondoor/fakes"
)

// recorder records the calls with their results, and the findings.
type recorder struct {
	mutex    sync.Mutex
	lastID   int
	calls    []call
	stall    time.Duration
	findings []string
	// The numbers of responses with which a server leaves or asks for a pause.
	announcing int
	rejected   int
	// downloads is the number of large responses that slow callers got whole, and memoryKB the
	// largest memory of a daemon, which largest names.
	downloads int
	memoryKB  int
	largest   string
}

// newID returns a new request ID.
func (r *recorder) newID() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastID++
	return fmt.Sprintf("r-%d", r.lastID)
}

func (r *recorder) addCall(c call) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.calls = append(r.calls, c)
}

func (r *recorder) addFinding(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.findings = append(r.findings, fmt.Sprintf(format, arguments...))
}

func (r *recorder) addDownload() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.downloads++
}

// addMemory records the memory of a daemon.
func (r *recorder) addMemory(daemon string, sizeKB int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if sizeKB > r.memoryKB {
		r.memoryKB, r.largest = sizeKB, daemon
	}
}

// verifyMemory checks that the memory of the daemons stayed within their setting.
func (r *recorder) verifyMemory() {
	if r.memoryKB > memoryMB*kilobyte {
		r.addFinding("%s used %d KB of memory, its setting is %d MB", r.largest, r.memoryKB, memoryMB)
	}
}

// measureStalls records the longest stall of this process until the context ends.
func (r *recorder) measureStalls(ctx context.Context) error {
	const interval = 20 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; {
		sleep(ctx, interval)
		now := time.Now()
		r.stall = max(r.stall, now.Sub(last)-interval)
		last = now
	}
	return nil
}

// verify compares the results of the calls with the runs that the servers recorded.
func (r *recorder) verify(servers []*server) {
	runs, unsafeRuns := make(map[string]int), make(map[string]int)
	var arrivals []fakes.Arrival
	for _, s := range servers {
		for id, count := range s.Runs() {
			runs[id] += count
		}
		for id, count := range s.UnsafeRuns() {
			unsafeRuns[id] += count
		}
		arrivals = append(arrivals, s.Arrivals()...)
	}
	for id, count := range runs {
		if unsafeRuns[id] > 1 {
			r.addFinding("non-idempotent request %s ran %d times", id, unsafeRuns[id])
		}
		if count > attempts {
			r.addFinding("request %s ran %d times, at most %d are allowed", id, count, attempts)
		}
	}
	for _, c := range r.calls {
		r.verifyCall(c, runs[c.id])
	}
	r.verifyRetries(arrivals)
	r.verifyMemory()
	slices.Sort(r.findings)
	r.findings = slices.Compact(r.findings)
}

// verifyCall checks the result of one call, which servers ran the given number of times.
func (r *recorder) verifyCall(c call, runs int) {
	switch {
	case guaranteesNotRun(c.status) && runs > 0:
		r.addFinding("%s ran although its status says that it did not", c)
	case c.abandoned || !c.planned:
	case c.status == 0 && runs > 0:
		r.addFinding("%s ran but got no complete response during planned maintenance", c)
	case c.status == http.StatusBadGateway || c.status == http.StatusGatewayTimeout:
		r.addFinding("%s was lost during planned maintenance", c)
	}
}

// guaranteesNotRun reports whether a status guarantees that the request did not run.
func guaranteesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// verifyRetries checks that the number of retries stays within the limit, for each
// window that ends with a retry.
func (r *recorder) verifyRetries(arrivals []fakes.Arrival) {
	slices.SortFunc(arrivals, func(a, b fakes.Arrival) int { return a.At.Compare(b.At) })
	seen := make(map[string]struct{}, len(arrivals))
	var retries []time.Time
	for _, arrival := range arrivals {
		if _, known := seen[arrival.ID]; known {
			retries = append(retries, arrival.At)
		}
		seen[arrival.ID] = struct{}{}
	}
	for i, end := range retries {
		begin := end.Add(-retryWindow)
		count := 0
		for _, at := range retries[:i+1] {
			if at.After(begin) {
				count++
			}
		}
		allowed := retryRatio*float64(r.callsInWindow(begin, end)) + retrySlack
		if float64(count) > allowed {
			r.addFinding("%d retries within %s, at most %.0f are allowed", count, retryWindow, allowed)
			return
		}
	}
}

// callsInWindow returns the number of calls sent in a window, or in the preceding window
// of the same length if that is larger.
func (r *recorder) callsInWindow(begin, end time.Time) int {
	inside, before := 0, 0
	for _, c := range r.calls {
		switch {
		case c.status == http.StatusUnauthorized || c.status == http.StatusTooManyRequests:
			// It did not reach the retry limits of a broker.
		case c.account == greedyAccount && c.lastByteAt.IsZero():
			// A daemon that is down refuses the connections of this account's callers often.
		case c.sentAt.After(begin) && !c.sentAt.After(end):
			inside++
		case c.sentAt.After(begin.Add(-retryWindow)) && !c.sentAt.After(begin):
			before++
		}
	}
	return max(inside, before)
}

// report returns the findings and the numbers of calls by result.
func (r *recorder) report(passes map[string][]pass) Report {
	report := Report{
		Findings: r.findings, Stall: r.stall, Announcing: r.announcing, Rejected: r.rejected,
		Downloads: r.downloads, MemoryKB: r.memoryKB,
	}
	for _, c := range r.calls {
		if c.status == http.StatusOK {
			report.Served++
			continue
		}
		report.Unserved++
		switch c.status {
		case http.StatusUnauthorized:
			report.Unkeyed++
		case http.StatusTooManyRequests:
			report.Limited++
		}
		if c.cut && !c.lastByteAt.IsZero() {
			report.Cut++
			if len(passes[c.id]) > 0 {
				report.CutPassed++
			}
		}
	}
	return report
}
