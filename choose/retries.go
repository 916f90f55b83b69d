package choose

import "time"

// Use is what a retry is used for. Lower ones save more and go first.
type Use uint8

// The uses of retries.
const (
	// UseFailed is a retry of a request that failed, which is lost without it.
	UseFailed Use = iota
	// UseRejected is a retry of a rejected request whose caller has no time to return.
	UseRejected
	// UseReturnable is a retry of a rejected request whose caller has time to return.
	UseReturnable
	// UseHedge is a hedge. The attempt beside it may still succeed.
	UseHedge
	// UseProbe is a first attempt that tests a server, and may need a retry.
	UseProbe

	useCount = iota
)

// String returns the name in metrics.
func (u Use) String() string {
	return [useCount]string{"failed", "rejected", "returnable", "hedge", "probe"}[u]
}

// Uses counts retries by use.
type Uses [useCount]float64

// reserves are the shares of the allowance of a window that each use leaves to the ones
// before it. When most servers reject, far more requests are rejected than may be retried:
// what hedges, probes and retries of requests whose callers can return have left is then
// used for those that would be lost.
var reserves = Uses{UseReturnable: 0.3, UseHedge: 0.4, UseProbe: 0.5}

const (
	// callerShare is the share of its remaining time up to which a caller waits before it
	// returns after a rejection.
	callerShare = 1.0 / 3
	// returnDelay is the wait that callers are told at least, and the way to them and back.
	returnDelay = 110 * time.Millisecond
	// returnMargin is how many times its expected duration a request needs after that, and
	// a hedge before the deadline.
	returnMargin = 1.5
)

// use returns what a retry is used for.
func (p *Pool) use(ask Ask) Use {
	switch ask.Cause {
	case CauseHedge:
		return UseHedge
	case CauseRejected:
		if p.returnSlack(ask) >= 0 {
			return UseReturnable
		}
		return UseRejected
	case CauseFirst, CauseFailed:
	}
	return UseFailed
}

// returnSlack returns how much later the caller may be refused so that it still returns and
// has its response before its deadline. It is negative if that is too late now.
func (p *Pool) returnSlack(ask Ask) time.Duration {
	work := time.Duration(returnMargin * float64(p.meanDuration(ask.Route)))
	return ask.Left - max(time.Duration(float64(returnDelay)/callerShare), returnDelay+work)
}

// CreditWait returns how long an ask may wait for the credit of its account. To wait takes
// no room, and credit that comes within the objective serves the caller best. But if the
// allocators are out of reach of this broker, the caller must be refused early enough to
// return by way of another one: at the latest when a response after its return may still
// be within the objective. An ask that is too old for that has until its caller could
// still meet its deadline.
func (p *Pool) CreditWait(ask Ask) time.Duration {
	untilDeadline := max(p.returnSlack(ask), 0)
	untilObjective := ask.Objective - ask.Age - p.meanDuration(ask.Route) - returnDelay
	if untilObjective > 0 {
		return min(untilObjective, untilDeadline)
	}
	return untilDeadline
}

// spare returns how many retries the window allows for a use.
func (p *Pool) spare(now time.Time, use Use) float64 {
	remaining := p.budget.Remaining(now)
	if !p.limited {
		return remaining
	}
	return remaining - reserves[use]*p.budget.Allowance(now)
}

// MayRepeat reports whether the retry limits allow an attempt besides waiting retries.
func (p *Pool) MayRepeat(now time.Time, ask Ask, waiting int) bool {
	return p.spare(now, p.use(ask)) >= 1+float64(waiting)
}

// takeRetry counts a retry if the window allows one for its use.
func (p *Pool) takeRetry(now time.Time, ask Ask) bool {
	use := p.use(ask)
	if p.spare(now, use) < 1 || !p.budget.TryTake(now) {
		return false
	}
	p.budget.record(now, use, 1)
	return true
}

// refundRetry returns a retry that was taken but not sent.
func (p *Pool) refundRetry(now time.Time, ask Ask) {
	p.budget.Refund(now)
	p.budget.record(now, p.use(ask), -1)
}

// Uses returns what the retries of the window were used for.
func (p *Pool) Uses(now time.Time) Uses { return p.budget.Uses(now) }
