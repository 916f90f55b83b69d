package choose

import (
	"math"
	"time"
)

// Parameters of the rule that every healthy server keeps getting requests while
// requests fail. They are stricter than the platform's floor, which demands that a
// share of the healthy servers gets requests while requests fail.
const (
	// failureRateDecayTime is the time constant of the failure rate.
	failureRateDecayTime = 1500 * time.Millisecond
	// failureRateThreshold is the failure rate from which requests are spread;
	// the platform's floor applies from a tenth on.
	failureRateThreshold = 0.05
	// minRateOutcomes is the number of outcomes, decayed with
	// failureRateDecayTime, below which the failure rate is ignored.
	minRateOutcomes = 8
	// failingIdleLimit is how long a server may go without a request while
	// requests fail; the platform's floor counts spans of two seconds.
	failingIdleLimit = 1600 * time.Millisecond
	// failingActiveShare is the share of servers that must be active while
	// requests fail; the platform's floor asks for seven tenths of the healthy
	// ones.
	failingActiveShare = 0.9
)

// Parameters for requests that can be retried on another server. They keep servers
// active at all times, because failures in daemons that terminate are not reported
// to the pool.
const (
	probeIdleLimit   = 1300 * time.Millisecond
	probeActiveShare = 0.8
	// failingProbeIdleLimit replaces probeIdleLimit while requests fail.
	failingProbeIdleLimit = 800 * time.Millisecond
)

// failureRate is the exponentially decaying share of requests that fail.
type failureRate struct {
	total     float64
	failed    float64
	updatedAt time.Time
}

// record counts the outcome of an attempt. A failure counts only if the attempt
// is final, which means that no other attempt of its request can follow.
func (f *failureRate) record(now time.Time, outcome Outcome, final bool) {
	decay := math.Exp(-now.Sub(f.updatedAt).Seconds() / failureRateDecayTime.Seconds())
	f.total, f.failed, f.updatedAt = f.total*decay, f.failed*decay, now
	switch outcome {
	case Served:
		f.total++
	case Failed, ConnectionLost, TimedOut:
		if final {
			f.total++
			f.failed++
		}
	case Cancelled, Misdirected, Shed, Unreachable:
	}
}

// isHigh reports whether so many requests fail that all servers have to be tried.
func (f *failureRate) isHigh() bool {
	return f.total >= minRateOutcomes && f.failed > failureRateThreshold*f.total
}

// idleServer returns the idle server that is most likely healthy if too few
// servers are active. It returns nil if enough are active, or if no idle server can
// take a request.
func (p *Pool) idleServer(now time.Time, ask Ask, candidates []*server) *server {
	idleLimit, activeShare := p.activityTarget(ask)
	if idleLimit == 0 {
		return nil
	}
	var best *server
	active, lowest := 0, 0.0
	for _, s := range candidates {
		if now.Sub(s.lastAssignedAt) < idleLimit {
			active++
			continue
		}
		if now.Before(s.pausedUntil) || s.load(now) >= s.Slots {
			continue
		}
		if unhealthy := p.unhealthyProb(now, s); best == nil || unhealthy < lowest {
			best, lowest = s, unhealthy
		}
	}
	if float64(active) >= activeShare*float64(len(candidates)) {
		return nil
	}
	return best
}

// activityTarget returns the share of servers that should have had a request
// within idleLimit. Both are 0 if the ask need not go to an idle server.
func (p *Pool) activityTarget(ask Ask) (idleLimit time.Duration, activeShare float64) {
	probes := ask.Probe && !ask.Repeat
	failing := p.failures.isHigh()
	switch {
	case probes && failing:
		return failingProbeIdleLimit, failingActiveShare
	case probes:
		return probeIdleLimit, probeActiveShare
	case failing && !ask.Repeat:
		return failingIdleLimit, failingActiveShare
	default:
		return 0, 0
	}
}
