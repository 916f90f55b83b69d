package choose

import (
	"math"
	"time"
)

// Parameters of the rule that most servers keep getting requests. The platform's
// floor demands that seven tenths of the healthy servers get requests in each span
// of two seconds in which a tenth of the requests fail. The rule applies at all
// times, because requests may fail later: those in flight do when their daemons lose
// power.
const (
	// activeShare and probeActiveShare are the shares of servers that must not be
	// idle. The latter applies to requests that can be retried, which keep all
	// servers in use at the cost of retries.
	activeShare      = 0.85
	probeActiveShare = 1.0
	// idleLimit is how long a server may go without a request before it is idle.
	idleLimit = 1700 * time.Millisecond
	// probeIdleLimit replaces idleLimit for requests that can be retried, so that
	// they are sent to idle servers before the others are.
	probeIdleLimit = 1300 * time.Millisecond
	// failureRest is how long a server is left alone after a failure before
	// idleLimit begins. The platform counts it as unhealthy for two seconds.
	failureRest = 1500 * time.Millisecond
	// maxRestingShare is the share of servers that may rest at the same time.
	maxRestingShare = 0.2
	// minAsksPerServer is the number of asks per server, decayed with idleLimit,
	// below which requests that cannot be retried go to the best server only.
	minAsksPerServer = 1.5
)

// askCount is the number of asks, decayed with idleLimit.
type askCount struct {
	count     float64
	updatedAt time.Time
}

// record counts one ask.
func (a *askCount) record(now time.Time) {
	a.count = a.count*math.Exp(-now.Sub(a.updatedAt).Seconds()/idleLimit.Seconds()) + 1
	a.updatedAt = now
}

// idleServer returns the idle server that is most likely healthy if too few servers
// are active. It returns nil if enough are active, if the ask need not go to an
// idle server, or if no idle server can take a request.
func (p *Pool) idleServer(now time.Time, ask Ask, candidates []*server) *server {
	limit, share := idleLimit, activeShare
	switch {
	case ask.Repeat:
		return nil
	case ask.Probe:
		limit, share = probeIdleLimit, probeActiveShare
	case p.asks.count < minAsksPerServer*float64(len(candidates)):
		return nil
	}
	active, resting := 0, 0
	var best, bestResting *server
	for _, s := range candidates {
		if now.Sub(s.lastAssignedAt) < limit {
			active++
			continue
		}
		usable := !now.Before(s.pausedUntil) && s.load(now) < s.Slots
		rests := now.Sub(s.tally.failedAt) < failureRest+limit
		if rests {
			resting++
		}
		switch {
		case !usable:
		case rests:
			bestResting = p.healthier(now, bestResting, s)
		default:
			best = p.healthier(now, best, s)
		}
	}
	count := float64(len(candidates))
	needed := share * (count - min(float64(resting), maxRestingShare*count))
	switch {
	case float64(active) >= needed:
		return nil
	case best != nil:
		return best
	default:
		return bestResting
	}
}

// healthier returns the server that is more likely healthy; best may be nil.
func (p *Pool) healthier(now time.Time, best, s *server) *server {
	if best == nil || p.unhealthyProb(now, s) < p.unhealthyProb(now, best) {
		return s
	}
	return best
}
