package broker

import (
	"math"
	"time"

	"dandeliondoor/crash"
	"dandeliondoor/model"
)

// Ask submits an ask and returns the resulting decisions. An ask without a
// decision is queued. An ask that already has a grant is ignored.
func (p *Pool) Ask(now time.Time, ask Ask) []Action {
	if _, known := p.grants[ask.ID]; known {
		return nil
	}
	if ask.Limit > 0 {
		p.accountLimits[ask.Account] = ask.Limit
	}
	class := p.estimator.classOf(ask.Route, ask.Class)
	p.estimator.recordArrival(now, class)
	queued := &queuedAsk{ask: ask, class: class, queuedAt: now, deadline: now.Add(ask.Budget)}
	if ask.Suspect {
		p.crashes.Learn(now, ask.Fingerprint, crash.Suspect)
	}
	switch p.crashes.Standing(now, ask.Fingerprint) {
	case crash.Confirmed:
		return []Action{Refused{ID: ask.ID, Reason: ReasonPoisonous}}
	case crash.Suspect:
		if len(p.suspects) >= maxSuspects {
			return []Action{Refused{ID: ask.ID, Reason: ReasonOverload, RetryAfter: minRetryAfter}}
		}
		p.suspects = append(p.suspects, queued)
		return p.dispatch(now)
	case crash.Clear:
	}
	if action, decided := p.admit(now, queued); decided {
		return []Action{action}
	}
	p.queues[class].push(queued)
	return p.dispatch(now)
}

// admit decides whether an ask is refused or redirected instead of queued.
func (p *Pool) admit(now time.Time, queued *queuedAsk) (Action, bool) {
	ask := queued.ask
	if !p.anyUsable(now) || !p.anyCandidate(ask.Avoid) {
		if sibling, found := p.lessBusySibling(now, math.MaxInt64); found && !ask.Redirected {
			return Redirected{ID: ask.ID, Pool: sibling}, true
		}
		if !p.anyCandidate(ask.Avoid) {
			return Refused{ID: ask.ID, Reason: ReasonNoUpstream, RetryAfter: minRetryAfter}, true
		}
	}
	if limit := ask.Limit; limit > 0 &&
		p.runningByAccount[ask.Account]+len(p.queues[queued.class].byAccount[ask.Account]) >= 2*limit {
		return Refused{ID: ask.ID, Reason: ReasonAccountLimit, RetryAfter: minRetryAfter}, true
	}
	wait := p.expectedWait(now, queued.class)
	if wait > minRedirectWait && !ask.Redirected {
		if sibling, found := p.lessBusySibling(now, wait); found {
			return Redirected{ID: ask.ID, Pool: sibling}, true
		}
	}
	if p.overloaded(queued, wait) {
		return Refused{ID: ask.ID, Reason: ReasonOverload, RetryAfter: max(wait, minRetryAfter)}, true
	}
	return nil, false
}

// overloaded reports whether an ask should be refused because the queues are full,
// the expected wait is too long for its class, or it would miss its deadline.
func (p *Pool) overloaded(queued *queuedAsk, wait time.Duration) bool {
	if p.queues[0].count+p.queues[1].count >= maxQueued {
		return true
	}
	if queued.class == model.ClassShort && wait > maxShortWait {
		return true
	}
	return wait > 0 && wait+p.estimator.meanDuration(queued.class) > queued.ask.Budget
}

// expectedWait estimates how long a new ask of a class would wait for a slot.
func (p *Pool) expectedWait(now time.Time, class model.Class) time.Duration {
	slots, free := p.usableSlots(now)
	if class == model.ClassLong {
		limit := p.longLimit(now)
		if p.runningLong < limit && free > 0 && p.queues[0].count == 0 && p.queues[1].count == 0 {
			return 0
		}
		return p.queueDrainTime(p.queues[1].count+1, p.estimator.meanDuration(model.ClassLong), limit)
	}
	if free > p.queues[0].count {
		return 0
	}
	return p.queueDrainTime(p.queues[0].count+1, p.estimator.meanDuration(model.ClassShort), slots-p.runningLong)
}

func (p *Pool) queueDrainTime(count int, mean time.Duration, slots int) time.Duration {
	return time.Duration(waitSafetyFactor * float64(count) * float64(mean) / float64(max(slots, 1)))
}
