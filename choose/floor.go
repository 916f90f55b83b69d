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
	// activeShare and probeActiveShare are the shares of sound servers that must not
	// be idle. The latter applies to requests that can be retried, which keep all
	// servers in use at the cost of retries.
	activeShare      = 0.85
	probeActiveShare = 1.0
	// pressedActiveShare replaces activeShare where asks wait for room. Requests beyond a
	// quota count as unserved there, so that the floor often applies while few servers are
	// free of disruption. The floor counts only these, and the pool can't tell which they
	// are, so that all idle servers may be among them: 1 - (1 - 0.7) * 0.1. With 0.85, 4 of
	// 12 such servers were idle. It costs callers little: a server gets a request for it
	// once in idleLimit, in a free slot, and a booking of 240 ms with an objective of 1.2 s
	// is in time there if the server is up to 5 times slower.
	pressedActiveShare = 1 - (1-minActiveShare)*undisturbedShare
	// undisturbedShare is the least share of the sound servers that are free of disruption
	// for which the floor has to hold: 12 and 15 of some 140 were on the worst days.
	undisturbedShare = 0.1
	// idleLimit is how long a server may go without a request before it is idle.
	idleLimit = 1700 * time.Millisecond
	// probeIdleLimit replaces idleLimit for requests that can be retried, so that
	// they are sent to idle servers before the others are.
	probeIdleLimit = 1300 * time.Millisecond
	// unsoundTime is how long a server does not count as sound after a failure.
	unsoundTime = 2 * time.Second
	// failureRest is how long a server is left alone after a failure before
	// idleLimit begins.
	failureRest = 1500 * time.Millisecond
	// minActiveShare is the share of all servers, sound or not, that must not be
	// idle.
	minActiveShare = 0.7
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
	if p.limited {
		share = pressedActiveShare
	}
	switch {
	case ask.Repeat:
		return nil
	case ask.Probe:
		limit, share = probeIdleLimit, probeActiveShare
	case p.asks.count < minAsksPerServer*float64(len(candidates)):
		return nil
	}
	active, sound, activeSound := 0, 0, 0
	var best, bestResting *server
	for _, s := range candidates {
		sinceFailure := now.Sub(s.tally.failedAt)
		if now.Sub(s.lastAssignedAt) < limit {
			active++
			if sinceFailure >= unsoundTime {
				sound++
				activeSound++
			}
			continue
		}
		rests := sinceFailure < failureRest+limit
		if !rests {
			sound++
		}
		switch {
		case now.Before(s.pausedUntil) || s.load(now) >= s.Slots:
		case rests:
			bestResting = p.healthier(now, bestResting, s)
		default:
			best = p.healthier(now, best, s)
		}
	}
	switch {
	case best != nil && float64(activeSound) < share*float64(sound):
		return best
	case float64(active) >= minActiveShare*float64(len(candidates)):
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
