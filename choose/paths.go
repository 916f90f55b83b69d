package choose

import (
	"time"
)

const (
	// pathFailureThreshold is the number of failed connections from which an
	// upstream is avoided, and pathAvoidPeriod for how long.
	pathFailureThreshold = 2
	pathAvoidPeriod      = 3 * time.Second
	// maxPaths is the number of tracked upstreams from which those that are not
	// avoided are removed.
	maxPaths = 4096
)

// PathTracker tracks the upstreams to which this daemon cannot connect, even if
// other daemons can.
type PathTracker struct {
	failed map[string]pathState
}

type pathState struct {
	failures int
	until    time.Time
}

// NewPathTracker returns an empty tracker.
func NewPathTracker() *PathTracker {
	return &PathTracker{failed: make(map[string]pathState)}
}

// RecordFailure records a failure to connect to an upstream.
func (p *PathTracker) RecordFailure(now time.Time, upstream string) {
	if len(p.failed) >= maxPaths {
		p.removeExpired(now)
	}
	state := p.failed[upstream]
	state.failures++
	if state.failures >= pathFailureThreshold {
		state.until = now.Add(pathAvoidPeriod)
	}
	p.failed[upstream] = state
}

// RecordSuccess clears the failures of an upstream.
func (p *PathTracker) RecordSuccess(upstream string) {
	delete(p.failed, upstream)
}

// ShouldAvoid reports whether no request should be sent to an upstream.
func (p *PathTracker) ShouldAvoid(now time.Time, upstream string) bool {
	return now.Before(p.failed[upstream].until)
}

// Any reports whether any failure is recorded.
func (p *PathTracker) Any() bool { return len(p.failed) > 0 }

// removeExpired removes all upstreams that are not avoided now, including those
// with fewer failures than pathFailureThreshold.
func (p *PathTracker) removeExpired(now time.Time) {
	for upstream, state := range p.failed {
		if !now.Before(state.until) {
			delete(p.failed, upstream)
		}
	}
}

// AvoidedUpstreams returns the upstreams to which no request should be sent.
func (p *PathTracker) AvoidedUpstreams(now time.Time) []string {
	var names []string
	for upstream, state := range p.failed {
		if now.Before(state.until) {
			names = append(names, upstream)
		}
	}
	return names
}
