package queue

import (
	"cmp"
	"time"
)

// Key identifies an ask: its daemon and the ticket that is unique within it.
type Key struct {
	Daemon string
	Ticket uint64
}

// Ask is an ask that waits. Work is the expected duration of its attempt. Objective and
// Deadline are the times until which a response is in time and of any use. HeldUntil is
// the time before which the ask must not be assigned, zero without one. Request is equal
// for the asks of a caller that returns after a refusal, 0 if unknown.
type Ask struct {
	Key       Key
	Request   uint64
	Account   string
	Route     string
	Priority  int
	Repeat    bool
	Work      time.Duration
	Objective time.Time
	Deadline  time.Time
	HeldUntil time.Time
}

// startMargin is how many times its expected duration an attempt needs until its deadline.
// With 1, attempts that ran into their deadline took room in vain and left it unknown
// whether the request ran; 1.5 halves them and serves as many requests.
const startMargin = 1.5

// LatestStart returns the latest time at which the attempt usefully starts.
func (a *Ask) LatestStart() time.Time {
	return a.Deadline.Add(-time.Duration(startMargin * float64(a.Work)))
}

// compare orders the asks of one account and priority: those that can still meet their
// objective first, then by the latest useful start.
func (a *Ask) compare(now time.Time, b *Ask) int {
	inTime, otherInTime := !now.Add(a.Work).After(a.Objective), !now.Add(b.Work).After(b.Objective)
	switch {
	case inTime && !otherInTime:
		return -1
	case !inTime && otherInTime:
		return 1
	case inTime:
		return cmp.Or(a.Objective.Add(-a.Work).Compare(b.Objective.Add(-b.Work)), a.compareKey(b))
	default:
		return cmp.Or(a.LatestStart().Compare(b.LatestStart()), a.compareKey(b))
	}
}

func (a *Ask) compareKey(b *Ask) int {
	return cmp.Or(cmp.Compare(a.Key.Daemon, b.Key.Daemon), cmp.Compare(a.Key.Ticket, b.Key.Ticket))
}

// groupKey identifies the asks that share all counts that order them.
type groupKey struct {
	account  string
	route    string
	priority int
}

// group holds the waiting asks of an account, route and priority. Work is the sum of
// theirs in seconds, counts the meters that they count in.
type group struct {
	key    groupKey
	asks   []*Ask
	work   float64
	counts counts
}

// counts are the meters that an ask counts in.
type counts struct{ account, route, priority *meter }

func (c counts) each() [3]*meter { return [3]*meter{c.account, c.route, c.priority} }

// rank orders groups; the lowest is served first.
type rank struct {
	starved  int
	beyond   int
	priority int
	service  float64
}

// compareClass compares everything but the recent service.
func (r rank) compareClass(other rank) int {
	return cmp.Or(cmp.Compare(r.starved, other.starved), cmp.Compare(r.beyond, other.beyond), cmp.Compare(r.priority, other.priority))
}

func (r rank) compare(other rank) int {
	return cmp.Or(r.compareClass(other), cmp.Compare(r.service, other.service))
}
