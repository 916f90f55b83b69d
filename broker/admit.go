package broker

import (
	"math"
	"time"

	"dandeliondoor/crash"
	"dandeliondoor/model"
)

// Ask takes an ask and returns what is decided at once; an ask without an
// action waits in the queue.
func (p *Pool) Ask(now time.Time, ask Ask) []Action {
	if _, known := p.grants[ask.ID]; known {
		return nil
	}
	if ask.Limit > 0 {
		p.limits[ask.Account] = ask.Limit
	}
	class := p.learner.classOf(ask.Route, ask.Class)
	p.learner.arrived(now, class)
	entered := &waiting{ask: ask, class: class, since: now, deadline: now.Add(ask.Budget)}
	if ask.Suspect {
		p.memory.Learn(now, ask.Fingerprint, crash.Suspect)
	}
	switch p.memory.Standing(now, ask.Fingerprint) {
	case crash.Convicted:
		return []Action{Refused{ID: ask.ID, Reason: ReasonPoisonous}}
	case crash.Suspect:
		if len(p.suspects) >= maxSuspects {
			return []Action{Refused{ID: ask.ID, Reason: ReasonOverload, RetryAfter: minRetryAfter}}
		}
		p.suspects = append(p.suspects, entered)
		return p.serve(now)
	case crash.Clear:
	}
	if action, decided := p.admit(now, entered); decided {
		return []Action{action}
	}
	p.queues[class].push(entered)
	return p.serve(now)
}

// admit refuses or redirects an ask that should not enter the queue.
func (p *Pool) admit(now time.Time, entered *waiting) (Action, bool) {
	ask := entered.ask
	if !p.anyUsable(now) || !p.anyPresent(ask.Avoid) {
		if sibling, found := p.betterSibling(now, math.MaxInt64); found && !ask.Redirected {
			return Redirected{ID: ask.ID, Pool: sibling}, true
		}
		if !p.anyPresent(ask.Avoid) {
			return Refused{ID: ask.ID, Reason: ReasonNoUpstream, RetryAfter: minRetryAfter}, true
		}
	}
	if limit := ask.Limit; limit > 0 && p.running[ask.Account]+len(p.queues[entered.class].lines[ask.Account]) >= 2*limit {
		return Refused{ID: ask.ID, Reason: ReasonAccountLimit, RetryAfter: minRetryAfter}, true
	}
	wait := p.expectedWait(now, entered.class)
	if wait > redirectMinWait && !ask.Redirected {
		if sibling, found := p.betterSibling(now, wait); found {
			return Redirected{ID: ask.ID, Pool: sibling}, true
		}
	}
	if p.tooLate(entered, wait) {
		return Refused{ID: ask.ID, Reason: ReasonOverload, RetryAfter: max(wait, minRetryAfter)}, true
	}
	return nil, false
}

// tooLate reports whether an ask could not finish before its deadline.
func (p *Pool) tooLate(entered *waiting, wait time.Duration) bool {
	if p.queues[0].count+p.queues[1].count >= maxQueued {
		return true
	}
	if entered.class == model.ClassShort && wait > maxShortWait {
		return true
	}
	return wait > 0 && wait+p.learner.mean(entered.class) > entered.ask.Budget
}

// expectedWait estimates how long an ask of a class waits for a slot.
func (p *Pool) expectedWait(now time.Time, class model.Class) time.Duration {
	slots, free := p.usableSlots(now)
	if class == model.ClassLong {
		limit := p.longLimit(now)
		if p.longRun < limit && free > 0 && p.queues[0].count == 0 && p.queues[1].count == 0 {
			return 0
		}
		return p.drainTime(p.queues[1].count+1, p.learner.mean(model.ClassLong), limit)
	}
	if free > p.queues[0].count {
		return 0
	}
	return p.drainTime(p.queues[0].count+1, p.learner.mean(model.ClassShort), slots-p.longRun)
}

func (p *Pool) drainTime(count int, mean time.Duration, slots int) time.Duration {
	return time.Duration(waitSafety * float64(count) * float64(mean) / float64(max(slots, 1)))
}
