package choose

import (
	"math"
	"slices"
	"time"

	"dandeliondoor/crash"
	"dandeliondoor/topo"
)

// Parameters of the estimates of a server's duration factor and load.
const (
	durationFactorWeight = 0.25
	minDurationFactor    = 0.3
	maxDurationFactor    = 20
	coldDurationFactor   = 2
	// reportAge is how long a server's own count of its requests is valid.
	reportAge = 300 * time.Millisecond
	// shedPause is how long a server is avoided after it shed a request.
	shedPause = 400 * time.Millisecond
	// overdueFactor is how many times the mean duration an attempt may run before
	// it is overdue, which counts against its server.
	overdueFactor = 4
	// unhealthyOverdueProb and healthyOverdueProb are the probabilities that a
	// request is overdue on an unhealthy and on a healthy server.
	unhealthyOverdueProb = 0.5
	healthyOverdueProb   = 0.04
)

// attempt is a request in flight on a server. Probe marks one that tests an
// untrusted server. Cost is nil unless servers are selected by cost. Lost is set while the
// daemon is lost.
type attempt struct {
	daemon    string
	ticket    uint64
	route     string
	startedAt time.Time
	expiresAt time.Time
	probe     bool
	lost      bool
	identity  crash.Identity
	cost      *attemptCost
}

// server is the state of one server. DurationFactor is its mean duration relative
// to that of all servers, and otherLoad the load reported by the server beyond
// the attempts known here. Leaving is set once the server itself has said so.
type server struct {
	topo.Server

	health         healthEstimate
	durationFactor float64
	attempts       []attempt
	otherLoad      int
	otherLoadAt    time.Time
	pausedUntil    time.Time
	lastResponseAt time.Time
	lastAssignedAt time.Time
	lastDaemon     string
	leaving        bool
	tally          outcomeTally
	pace           pace
	backlog        backlog
}

// outcomeTally counts the outcomes of a server, decayed with tallyDecayTime. It
// detects servers that fail a constant share of their requests, which the
// two-state model considers healthy after each success.
type outcomeTally struct {
	successes float64
	failures  float64
	updatedAt time.Time
	failedAt  time.Time
}

const (
	tallyDecayTime = 5 * time.Second
	// tallyPriorWeight is the weight, in outcomes, of the prior assumption that
	// no request fails.
	tallyPriorWeight = 3
	// ignoredFailures is the number of failures that the two-state model accounts
	// for.
	ignoredFailures = 1
)

// record counts one outcome.
func (t *outcomeTally) record(now time.Time, failed bool) {
	decay := math.Exp(-now.Sub(t.updatedAt).Seconds() / tallyDecayTime.Seconds())
	t.successes, t.failures, t.updatedAt = t.successes*decay, t.failures*decay, now
	if failed {
		t.failures++
		t.failedAt = now
		return
	}
	t.successes++
}

// rate returns the share of failures. Overdue attempts count as failures.
func (t *outcomeTally) rate(now time.Time, overdue int) float64 {
	decay := math.Exp(-now.Sub(t.updatedAt).Seconds() / tallyDecayTime.Seconds())
	failures := t.failures*decay + float64(overdue)
	return max(failures-ignoredFailures, 0) / (t.successes*decay + failures + tallyPriorWeight)
}

func newServer(now time.Time, record topo.Server, unhealthyShare float64) *server {
	return &server{Server: record, health: healthEstimate{unhealthy: unhealthyShare, updatedAt: now}, durationFactor: 1}
}

// usable reports whether a request may be sent to the server.
func (s *server) usable(ask Ask) bool {
	return !s.Draining && !s.leaving && !slices.Contains(ask.Exclude, s.ID)
}

// load returns the estimated number of requests that the server runs or queues:
// the attempts known here, plus those that its own recent count adds.
func (s *server) load(now time.Time) int {
	load := s.counted()
	if now.Sub(s.otherLoadAt) < reportAge {
		load += s.otherLoad
	}
	return load
}

// expire drops attempts that have passed their expiry time because their release
// was never received.
func (s *server) expire(now time.Time) {
	if !slices.ContainsFunc(s.attempts, func(a attempt) bool { return !now.Before(a.expiresAt) }) {
		return
	}
	s.backlog.stale = true
	kept := s.attempts[:0]
	for _, a := range s.attempts {
		if now.Before(a.expiresAt) {
			kept = append(kept, a)
		}
	}
	s.attempts = kept
}

// removeAttempt removes an attempt and returns it.
func (s *server) removeAttempt(daemon string, ticket uint64) (attempt, bool) {
	for i, a := range s.attempts {
		if a.ticket == ticket && a.daemon == daemon {
			s.attempts = append(s.attempts[:i], s.attempts[i+1:]...)
			return a, true
		}
	}
	return attempt{}, false
}

// probing reports whether a probe of the server is in flight.
func (s *server) probing() bool {
	for _, a := range s.attempts {
		if a.probe && !a.lost {
			return true
		}
	}
	return false
}

// updateLoad records the server's own count of running and waiting requests, less
// the attempts known here and the one that has just ended. If running is negative,
// the server sent no count.
func (s *server) updateLoad(now time.Time, running, waiting int) {
	if running < 0 {
		return
	}
	s.otherLoad = max(running+max(waiting, 0)-s.counted()-1, 0)
	s.otherLoadAt = now
}

// updateDurationFactor records the duration of a request relative to the mean.
func (s *server) updateDurationFactor(ratio float64) {
	ratio = min(max(ratio, minDurationFactor), maxDurationFactor)
	s.durationFactor += durationFactorWeight * (ratio - s.durationFactor)
}

// expectedDurationFactor returns the duration factor of the server at a time; a
// cold server is expected to be slower.
func (s *server) expectedDurationFactor(now time.Time) float64 {
	if now.Before(s.ColdUntil) {
		return max(s.durationFactor, coldDurationFactor)
	}
	return s.durationFactor
}
