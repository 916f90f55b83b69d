package front

import "time"

// The time that is left at the end of a stop.
const (
	// responseMargin is left to pass on a response that a server sends at its deadline.
	responseMargin = 150 * time.Millisecond
	// answerMargin is left to write responses of this daemon to requests that servers
	// still work on.
	answerMargin = 400 * time.Millisecond
	// exitMargin is left for the process to exit.
	exitMargin = 250 * time.Millisecond
	// marginDivisor divides a short limit and gives the most that all of these take
	// together, so that no request is ended before the last sixth of the limit.
	marginDivisor = 7
	// latestRefusal is the most that the balancer's lag can delay the refusal of new
	// requests.
	latestRefusal = 2900 * time.Millisecond
)

// Stop is the schedule of a planned stop. The zero value means that none has begun.
type Stop struct {
	began      time.Time
	refusesAt  time.Time
	serversEnd time.Time
	endsAt     time.Time
	closesAt   time.Time
}

// NewStop returns the schedule of a stop that begins now. The balancer keeps sending
// requests for balancerLag, and the process has to exit within limit.
func NewStop(now time.Time, balancerLag, limit time.Duration) Stop {
	margins := responseMargin + answerMargin + exitMargin
	share := min(float64(limit/marginDivisor)/float64(margins), 1)
	before := func(moment time.Time, margin time.Duration) time.Time {
		return moment.Add(-time.Duration(share * float64(margin)))
	}
	s := Stop{began: now}
	s.closesAt = before(now.Add(limit), exitMargin)
	s.endsAt = before(s.closesAt, answerMargin)
	s.serversEnd = before(s.endsAt, responseMargin)
	s.refusesAt = now.Add(min(balancerLag, latestRefusal))
	if s.refusesAt.After(s.serversEnd) {
		s.refusesAt = s.serversEnd
	}
	return s
}

// Began reports whether the stop has begun.
func (s Stop) Began() bool { return !s.began.IsZero() }

// Refuses reports whether new requests are refused.
func (s Stop) Refuses(now time.Time) bool { return s.Began() && !now.Before(s.refusesAt) }

// RefusesAt returns when the refusal of new requests begins.
func (s Stop) RefusesAt() time.Time { return s.refusesAt }

// EndsAt returns when requests that servers still work on are ended.
func (s Stop) EndsAt() time.Time { return s.endsAt }

// ClosesAt returns when the connections that are left are closed.
func (s Stop) ClosesAt() time.Time { return s.closesAt }

// Attempt is what decides whether a request may be sent to a server. Received is when
// its body was complete; it is zero for a body that is passed on while it is received.
type Attempt struct {
	Received  time.Time
	Deadline  time.Time
	Objective time.Duration
}

// Allows reports whether an attempt may begin now: its request must have been received
// before new requests were refused, and be likely to be served before the end.
func (s Stop) Allows(now time.Time, attempt Attempt) bool {
	if !s.Began() {
		return true
	}
	if s.Refuses(now) && (attempt.Received.IsZero() || s.Refuses(attempt.Received)) {
		return false
	}
	expected := attempt.Deadline
	if served := now.Add(attempt.Objective); attempt.Objective > 0 && served.Before(expected) {
		expected = served
	}
	return !expected.After(s.serversEnd)
}

// ServerDeadline returns the deadline that a server gets for a request with a deadline.
func (s Stop) ServerDeadline(deadline time.Time) time.Time {
	if s.Began() && s.serversEnd.Before(deadline) {
		return s.serversEnd
	}
	return deadline
}
