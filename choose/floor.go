package choose

import (
	"math"
	"time"
)

// The rule that no sound server is left without work while requests fail.
const (
	// failingTime is the time constant of the rate of failures.
	failingTime = 1500 * time.Millisecond
	// failingLimit is the share of failures from which work is spread; the
	// platform's floor holds from a tenth on.
	failingLimit = 0.05
	// minFailing is the count of outcomes, faded with failingTime, that a share
	// needs.
	minFailing = 8
	// neglectTime is how long a server may go without work while requests fail;
	// the floor counts spans of two seconds.
	neglectTime = 1600 * time.Millisecond
	// spreadShare is the part of the servers that gets work then; the floor asks
	// for seven tenths of those that are sound.
	spreadShare = 0.9
)

// Work that can be repeated elsewhere keeps servers in use at all times, since
// requests may also fail where the pool does not see it, in daemons that end.
const (
	calmNeglectTime = 1300 * time.Millisecond
	calmSpreadShare = 0.8
	// failingNeglectTime holds for such work while requests fail.
	failingNeglectTime = 800 * time.Millisecond
)

// failureRate is the fading share of requests that fail.
type failureRate struct {
	all    float64
	failed float64
	at     time.Time
}

// note takes the outcome of an attempt; last says that it decided its request.
func (f *failureRate) note(now time.Time, outcome Outcome, last bool) {
	kept := math.Exp(-now.Sub(f.at).Seconds() / failingTime.Seconds())
	f.all, f.failed, f.at = f.all*kept, f.failed*kept, now
	switch outcome {
	case Served:
		f.all++
	case Failed, ConnectionLost, TimedOut:
		if last {
			f.all++
			f.failed++
		}
	case Cancelled, Misdirected, Shed, Unreachable:
	}
}

// high reports whether so much fails that all servers have to be tried.
func (f *failureRate) high() bool {
	return f.all >= minFailing && f.failed > failingLimit*f.all
}

// neglected returns the best of the servers that had no work for long, when too
// few servers get work.
func (p *Pool) neglected(now time.Time, ask Ask, candidates []*server) *server {
	limit, share := p.spread(ask)
	if limit == 0 {
		return nil
	}
	var best *server
	given, least := 0, 0.0
	for _, s := range candidates {
		if now.Sub(s.lastGiven) < limit {
			given++
			continue
		}
		if now.Before(s.pausedTill) || s.busy(now) >= s.Slots {
			continue
		}
		if bad := p.suspicion(now, s); best == nil || bad < least {
			best, least = s, bad
		}
	}
	if float64(given) >= share*float64(len(candidates)) {
		return nil
	}
	return best
}

// spread returns within what time which share of the servers should get work, or
// 0 if the ask is not to be used for that.
func (p *Pool) spread(ask Ask) (within time.Duration, share float64) {
	probes := ask.Probe && !ask.Repeat
	failing := p.failing.high()
	switch {
	case probes && failing:
		return failingNeglectTime, spreadShare
	case probes:
		return calmNeglectTime, calmSpreadShare
	case failing && !ask.Repeat:
		return neglectTime, spreadShare
	default:
		return 0, 0
	}
}
