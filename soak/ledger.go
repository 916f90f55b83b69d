package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"dandeliondoor/stand"
)

// ledger keeps what callers were told and what was found.
type ledger struct {
	mutex    sync.Mutex
	next     int
	calls    []call
	findings []string
}

// id returns a new name of a request.
func (l *ledger) id() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.next++
	return fmt.Sprintf("r-%d", l.next)
}

func (l *ledger) add(c call) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.calls = append(l.calls, c)
}

func (l *ledger) find(format string, arguments ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.findings = append(l.findings, fmt.Sprintf(format, arguments...))
}

// verify compares what callers were told with what servers saw.
func (l *ledger) verify(servers []*server) {
	runs, unsafe := make(map[string]int), make(map[string]int)
	var arrivals []stand.Arrival
	for _, s := range servers {
		for id, count := range s.Runs() {
			runs[id] += count
		}
		for id, count := range s.UnsafeRuns() {
			unsafe[id] += count
		}
		arrivals = append(arrivals, s.Arrivals()...)
	}
	for id, count := range runs {
		if unsafe[id] > 1 {
			l.find("request %s, which may run once, ran %d times", id, unsafe[id])
		}
		if count > attempts {
			l.find("request %s ran on %d servers, %d are allowed", id, count, attempts)
		}
	}
	for _, c := range l.calls {
		l.verifyCall(c, runs[c.id])
	}
	l.verifyRetries(arrivals)
	slices.Sort(l.findings)
	l.findings = slices.Compact(l.findings)
}

// verifyCall looks at one call that reached servers so many times.
func (l *ledger) verifyCall(c call, runs int) {
	switch {
	case promises(c.status) && runs > 0:
		l.find("%s was refused and has run", c)
	case c.left || !c.planned:
	case c.status == 0 && runs > 0:
		l.find("%s ran and got no answer although only planned work was under way", c)
	case c.status == http.StatusBadGateway || c.status == http.StatusGatewayTimeout:
		l.find("%s was lost although only planned work was under way", c)
	}
}

// promises reports whether a status says that the request has not run.
func promises(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// verifyRetries looks at each window that ends with a second arrival.
func (l *ledger) verifyRetries(arrivals []stand.Arrival) {
	slices.SortFunc(arrivals, func(a, b stand.Arrival) int { return a.At.Compare(b.At) })
	seen := make(map[string]struct{}, len(arrivals))
	var repeats []time.Time
	for _, arrival := range arrivals {
		if _, known := seen[arrival.ID]; known {
			repeats = append(repeats, arrival.At)
		}
		seen[arrival.ID] = struct{}{}
	}
	for i, end := range repeats {
		begin := end.Add(-retryWindow)
		count := 0
		for _, at := range repeats[:i+1] {
			if at.After(begin) {
				count++
			}
		}
		allowed := retryRatio*float64(l.sentIn(begin, end)) + retrySlack
		if float64(count) > allowed {
			l.find("%d second sends within %s, %.0f are allowed", count, retryWindow, allowed)
			return
		}
	}
}

// sentIn counts the calls of a window, or of the one before it if those are more.
func (l *ledger) sentIn(begin, end time.Time) int {
	inside, before := 0, 0
	for _, c := range l.calls {
		switch {
		case c.at.After(begin) && !c.at.After(end):
			inside++
		case c.at.After(begin.Add(-retryWindow)) && !c.at.After(begin):
			before++
		}
	}
	return max(inside, before)
}

// report counts what was served.
func (l *ledger) report() Report {
	report := Report{Findings: l.findings}
	for _, c := range l.calls {
		if c.status == http.StatusOK {
			report.Served++
			continue
		}
		report.Unserved++
	}
	return report
}
