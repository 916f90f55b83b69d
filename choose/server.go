package choose

import (
	"math"
	"time"

	"dandeliondoor/crash"
	"dandeliondoor/topo"
)

// The constants of what is learned of a server's speed and load.
const (
	speedWeight = 0.25
	minSpeed    = 0.3
	maxSpeed    = 20
	coldSpeed   = 2
	// reportAge is how long a server's own count of its requests counts.
	reportAge = 300 * time.Millisecond
	// shedPause is how long a server that shed below its slots is left alone.
	shedPause = 400 * time.Millisecond
	// overdueFactor is how many times the mean duration an attempt may run
	// before it counts against its server.
	overdueFactor = 4
	// overdueBad and overdueSound are how often a request is overdue on a bad
	// and on a sound server.
	overdueBad   = 0.5
	overdueSound = 0.04
)

// attempt is work that a server was given. Probe says that it is to find out
// about the server, last that no other attempt can follow.
type attempt struct {
	daemon  string
	ticket  uint64
	route   string
	since   time.Time
	expires time.Time
	probe   bool
	last    bool
	content crash.Fingerprint
}

// server is what is known of one server.
type server struct {
	topo.Server

	belief     belief
	speed      float64
	attempts   []attempt
	others     int
	othersAt   time.Time
	pausedTill time.Time
	lastSeen   time.Time
	lastGiven  time.Time
	lastBy     string
	tally      tally
}

// tally counts the outcomes of a server, faded with tallyTime. It shows servers
// that lose a part of their work all the time, which the model of spells takes
// for sound after each success.
type tally struct {
	good float64
	bad  float64
	at   time.Time
}

const (
	tallyTime = 5 * time.Second
	// tallyPrior is the weight of the expectation that nothing fails, in
	// outcomes, and tallyFree the failures that the model of spells explains.
	tallyPrior = 3
	tallyFree  = 1
)

// note counts one outcome.
func (t *tally) note(now time.Time, failed bool) {
	kept := math.Exp(-now.Sub(t.at).Seconds() / tallyTime.Seconds())
	t.good, t.bad, t.at = t.good*kept, t.bad*kept, now
	if failed {
		t.bad++
		return
	}
	t.good++
}

// rate returns the share of failures, with so many attempts more that are
// overdue.
func (t *tally) rate(now time.Time, overdue int) float64 {
	kept := math.Exp(-now.Sub(t.at).Seconds() / tallyTime.Seconds())
	bad := t.bad*kept + float64(overdue)
	return max(bad-tallyFree, 0) / (t.good*kept + bad + tallyPrior)
}

func newServer(now time.Time, record topo.Server, share float64) *server {
	return &server{Server: record, belief: belief{bad: share, at: now}, speed: 1}
}

// busy returns how many requests the server is believed to run or hold: those
// given out here, or its own count when that is fresh and higher.
func (s *server) busy(now time.Time) int {
	busy := len(s.attempts)
	if now.Sub(s.othersAt) < reportAge {
		busy += s.others
	}
	return busy
}

// expire drops attempts whose end was never reported.
func (s *server) expire(now time.Time) {
	kept := s.attempts[:0]
	for _, a := range s.attempts {
		if now.Before(a.expires) {
			kept = append(kept, a)
		}
	}
	s.attempts = kept
}

// take removes an attempt and returns it.
func (s *server) take(daemon string, ticket uint64) (attempt, bool) {
	for i, a := range s.attempts {
		if a.ticket == ticket && a.daemon == daemon {
			s.attempts = append(s.attempts[:i], s.attempts[i+1:]...)
			return a, true
		}
	}
	return attempt{}, false
}

// probing reports whether an attempt that can be repeated elsewhere is on its
// way to learn about the server.
func (s *server) probing() bool {
	for _, a := range s.attempts {
		if a.probe {
			return true
		}
	}
	return false
}

// report takes the server's own count of running and waiting requests, less
// those that are known here.
func (s *server) report(now time.Time, running, waiting int) {
	if running < 0 {
		return
	}
	s.others = max(running+max(waiting, 0)-len(s.attempts)-1, 0)
	s.othersAt = now
}

// learnSpeed takes the duration of a request relative to the mean.
func (s *server) learnSpeed(ratio float64) {
	ratio = min(max(ratio, minSpeed), maxSpeed)
	s.speed += speedWeight * (ratio - s.speed)
}

// slowness is the factor on durations that is expected of the server now.
func (s *server) slowness(now time.Time) float64 {
	if now.Before(s.ColdUntil) {
		return max(s.speed, coldSpeed)
	}
	return s.speed
}
