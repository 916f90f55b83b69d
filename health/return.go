package health

import (
	"math"
	"time"
)

func (t *Tracker) forgetBackoff(now time.Time, candidate *upstream) {
	if candidate.backoff > 0 && now.Sub(candidate.until) > backoffForgetAfter {
		candidate.backoff = 0
	}
}

func (t *Tracker) observeTrial(now time.Time, u *upstream, failed bool, deviation float64) []Verdict {
	if failed && t.peerFailureRate(u) > sharedMargin {
		return nil
	}
	if failed {
		return []Verdict{t.putOut(now, u, CauseTrial)}
	}
	u.trialGood++
	u.trialDeviation += deviation
	if u.trialGood < trialSamples {
		return nil
	}
	if u.trialDeviation/trialSamples-math.Max(0, t.peerDeviation(u)) > slowShift/2 {
		return []Verdict{t.putOut(now, u, CauseTrial)}
	}
	crashed := u.cause == CauseUnreachable
	t.readmit(now, u)
	if crashed {
		u.state = Cold
		u.until = now.Add(coldPeriod)
	}
	return []Verdict{Readmitted{Upstream: u.name, Reason: ReturnTrial}}
}

func (t *Tracker) readmit(now time.Time, u *upstream) {
	u.state = Healthy
	u.until = now
	u.clearEvidence()
}

// keepFloor readmits the least sick upstreams while capacity is below the
// floor.
func (t *Tracker) keepFloor() []Verdict {
	var verdicts []Verdict
	for t.Capacity() < t.floorSlots {
		least := t.leastSickOut()
		if least == nil {
			return verdicts
		}
		least.state = Healthy
		least.clearEvidence()
		verdicts = append(verdicts, Readmitted{Upstream: least.name, Reason: ReturnFloor})
	}
	return verdicts
}

func (t *Tracker) leastSickOut() *upstream {
	var least *upstream
	for _, candidate := range t.upstreams {
		ejected := candidate.state == Out || candidate.state == Trial
		if !ejected || candidate.leaving || candidate.cause == CauseUnreachable {
			continue
		}
		if least == nil || candidate.sickness() < least.sickness() {
			least = candidate
		}
	}
	return least
}
