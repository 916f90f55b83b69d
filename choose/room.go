package choose

import (
	"slices"
	"time"
)

// Queued is the decision that an ask waits. Position is the number of asks before it, and
// Wait the expected time until its turn.
type Queued struct {
	Position int
	Wait     time.Duration
}

var _ Decision = Queued{}

func (Queued) isDecision() {}

// Room is what the servers of a pool can hold. Free lists those that have room for an
// ask, and Total is the number of attempts that all servers can hold.
type Room struct {
	Free  []string
	Total int
}

// Fits reports whether a free server may run the attempt.
func (r Room) Fits(ask Ask) bool {
	return slices.ContainsFunc(r.Free, func(id string) bool { return !slices.Contains(ask.Exclude, id) })
}

// LimitLoad makes a server full at one request more than its slots. The further ones wait
// at the broker, which can still give them to another server. The slack of the retry limits
// then holds for each window.
func (p *Pool) LimitLoad() { p.limited, p.budget.strict = true, true }

// maxLoad returns the load from which a server gets no request.
func (p *Pool) maxLoad(s *server) int {
	if p.limited {
		return s.Slots + 1
	}
	return s.Slots * maxLoadFactor
}

// Room returns what the servers can hold.
func (p *Pool) Room(now time.Time) Room {
	var room Room
	for _, s := range p.sorted {
		if !s.usable(Ask{}) {
			continue
		}
		s.expire(now)
		room.Total += p.maxLoad(s)
		if s.load(now) < p.maxLoad(s) {
			room.Free = append(room.Free, s.ID)
		}
	}
	return room
}

// HasRoom reports whether any server has room for the attempt.
func (p *Pool) HasRoom(now time.Time, ask Ask) bool {
	return slices.ContainsFunc(p.sorted, func(s *server) bool {
		if !s.usable(ask) {
			return false
		}
		s.expire(now)
		return s.load(now) < p.maxLoad(s)
	})
}

// HasServer reports whether any server may run the attempt once it has room.
func (p *Pool) HasServer(ask Ask) bool {
	return slices.ContainsFunc(p.sorted, func(s *server) bool { return s.usable(ask) })
}

// ExpectedDuration returns the mean duration of the attempts of a route.
func (p *Pool) ExpectedDuration(route string) time.Duration { return p.meanDuration(route) }

// Withdraw removes an attempt that was assigned but will not be made.
func (p *Pool) Withdraw(daemon string, ticket uint64) bool {
	for _, s := range p.sorted {
		if _, found := s.removeAttempt(daemon, ticket); found {
			return true
		}
	}
	return false
}
