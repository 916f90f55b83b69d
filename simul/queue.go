package simul

import (
	"fmt"
	"slices"
	"time"

	"dandeliondoor/choose"
	"dandeliondoor/crash"
	"dandeliondoor/feed"
	"dandeliondoor/slots"
	"dandeliondoor/topo"
)

const (
	// tickInterval is how often the broker looks at its queues, as in the daemons.
	tickInterval = 25 * time.Millisecond
	// eagerDelay is after which time an eager caller returns.
	eagerDelay = 20 * time.Millisecond
)

// poolKey is the key of the only pool.
var poolKey = slots.PoolKey{Service: "service", Parts: 1}

// startQueue replaces the pool by a broker that queues asks.
func (s *simulation) startQueue(limits choose.RetryLimits) {
	s.broker = slots.NewBroker(limits, s.load.Seed, slots.WithQueue(nil))
	s.view = &feed.View{Servers: s.records}
	s.view.Services = map[string][]topo.Server{poolKey.Service: s.listed}
	s.broker.SetView(s.epoch, s.view)
	s.tick()
}

func (s *simulation) tick() {
	s.broker.Tick(s.time())
	if s.now < s.load.Length+s.longestDeadline() {
		s.after(tickInterval, s.tick)
	}
}

func (s *simulation) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.load.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// enqueue asks the broker. A queued request continues with the decision.
func (s *simulation) enqueue(r *request, ask choose.Ask) choose.Decision {
	ask.Age = s.now - r.asked
	ask.Identity.Caller = crash.Fingerprint(r.id << 1)
	switch {
	case r.pending > 0:
		ask.Cause = choose.CauseHedge
	case ask.Repeat && r.shed:
		ask.Cause = choose.CauseRejected
	case ask.Repeat:
		ask.Cause = choose.CauseFailed
	}
	request := slots.AskRequest{Pool: poolKey, Ask: ask, Wait: ask.Cause != choose.CauseHedge}
	return s.broker.Enqueue(s.time(), request, nil, func(decision choose.Decision) {
		// The broker must not be called from here.
		s.after(0, func() {
			if !r.done {
				r.waiting = 0
				s.decided(r, ask.Ticket, decision)
			}
		})
	})
}

// release ends an attempt, unless its daemon is gone.
func (s *simulation) release(release choose.Release) {
	switch {
	case s.isGone(release.Daemon):
	case s.load.Queue:
		s.broker.Release(s.time(), slots.ReleaseRequest{Pool: poolKey, Release: release})
	default:
		s.pool.Release(s.time(), release)
	}
}

// daemonsGone returns how many daemons are gone; those with the highest numbers are.
func (s *simulation) daemonsGone() int {
	gone := 0
	for _, span := range s.load.DaemonsGone {
		if s.now >= span.At {
			gone += int(span.Share * float64(s.load.Daemons))
		}
	}
	return min(gone, s.load.Daemons-1)
}

func (s *simulation) isGone(daemon string) bool {
	gone := s.daemonsGone()
	for i := s.load.Daemons - gone; i < s.load.Daemons; i++ {
		if daemon == fmt.Sprintf("front-%d", i) {
			return true
		}
	}
	return false
}

// loseDaemons fails the requests of the daemons that are gone.
func (s *simulation) loseDaemons() {
	var lost []*request
	for r := range s.open {
		if s.isGone(r.daemon) {
			lost = append(lost, r)
		}
	}
	slices.SortFunc(lost, func(a, b *request) int { return int(a.id) - int(b.id) })
	for _, r := range lost {
		s.finish(r, outcomeFailed)
	}
}

// isRejected draws whether a server rejects a request although it is not full.
func (s *simulation) isRejected() bool {
	share := during(s.load.Rejects, s.now).Share
	return share > 0 && s.random.Float64() < share
}

// credit is what an account with a quota may still use.
type credit struct {
	left      float64
	updatedAt time.Duration
}

// takeCredit takes the credit for a request, once for all of its attempts. It returns the
// time until there is some, 0 if it was taken or the account has no quota.
func (s *simulation) takeCredit(r *request) time.Duration {
	i := slices.IndexFunc(s.load.Accounts, func(a Account) bool { return a.Name == r.account })
	if i < 0 || s.load.Accounts[i].Quota <= 0 || r.credited {
		return 0
	}
	quota := s.load.Accounts[i].Quota
	c, known := s.credit[r.account]
	if !known {
		c = &credit{left: quota}
		s.credit[r.account] = c
	}
	c.left = min(c.left+quota*(s.now-c.updatedAt).Seconds(), quota)
	c.updatedAt = s.now
	if c.left < 1 {
		return seconds((1 - c.left) / quota)
	}
	c.left--
	r.credited = true
	return 0
}
