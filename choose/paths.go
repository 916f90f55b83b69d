package choose

import (
	"time"
)

// The rule for paths that fail from this daemon.
const (
	pathFailures    = 2
	pathAvoidPeriod = 3 * time.Second
	maxPaths        = 4096
)

// PathTracker remembers to which upstreams this daemon cannot connect, whatever other
// daemons see. It is pure.
type PathTracker struct {
	failed map[string]pathState
}

type pathState struct {
	failures int
	until    time.Time
}

// NewPathTracker returns a memory without failures.
func NewPathTracker() *PathTracker {
	return &PathTracker{failed: make(map[string]pathState)}
}

// RecordFailure notes that an upstream could not be reached.
func (p *PathTracker) RecordFailure(now time.Time, upstream string) {
	if len(p.failed) >= maxPaths {
		p.forget(now)
	}
	state := p.failed[upstream]
	state.failures++
	if state.failures >= pathFailures {
		state.until = now.Add(pathAvoidPeriod)
	}
	p.failed[upstream] = state
}

// RecordSuccess forgets the failures of an upstream.
func (p *PathTracker) RecordSuccess(upstream string) {
	delete(p.failed, upstream)
}

// ShouldAvoid reports whether an upstream is not to be asked for.
func (p *PathTracker) ShouldAvoid(now time.Time, upstream string) bool {
	return now.Before(p.failed[upstream].until)
}

// Any reports whether any failure is remembered.
func (p *PathTracker) Any() bool { return len(p.failed) > 0 }

func (p *PathTracker) forget(now time.Time) {
	for upstream, state := range p.failed {
		if !now.Before(state.until) {
			delete(p.failed, upstream)
		}
	}
}

// AvoidedUpstreams returns the upstreams that are not to be asked for.
func (p *PathTracker) AvoidedUpstreams(now time.Time) []string {
	var names []string
	for upstream, state := range p.failed {
		if now.Before(state.until) {
			names = append(names, upstream)
		}
	}
	return names
}
