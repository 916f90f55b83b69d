package health

import (
	"math"
	"time"
)

func (t *Tracker) resetBackoff(now time.Time, candidate *upstream) {
	if candidate.backoff > 0 && now.Sub(candidate.until) > backoffResetAfter {
		candidate.backoff = 0
	}
}

func (t *Tracker) observeTrial(now time.Time, u *upstream, failed bool, deviation float64) []Verdict {
	if failed && t.peerFailureRate(u) > peerFailureMargin {
		return nil
	}
	if failed {
		return []Verdict{t.startEjection(now, u, CauseTrial)}
	}
	u.trialSuccesses++
	u.trialDeviation += deviation
	if u.trialSuccesses < trialSamples {
		return nil
	}
	if u.trialDeviation/trialSamples-math.Max(0, t.peerDeviation(u)) > slownessShift/2 {
		return []Verdict{t.startEjection(now, u, CauseTrial)}
	}
	crashed := u.cause == CauseUnreachable
	t.readmit(now, u)
	if crashed {
		u.state = Cold
		u.until = now.Add(coldPeriod)
	}
	return []Verdict{Readmitted{Upstream: u.name, Reason: ReadmittedAfterTrial}}
}

func (t *Tracker) readmit(now time.Time, u *upstream) {
	u.state = Healthy
	u.until = now
	u.clearEvidence()
}

// enforceFloor readmits the least suspect ejected upstreams while the healthy
// capacity is below the floor.
func (t *Tracker) enforceFloor() []Verdict {
	var verdicts []Verdict
	for t.Capacity() < t.floorSlots {
		least := t.leastSuspectEjected()
		if least == nil {
			return verdicts
		}
		least.state = Healthy
		least.clearEvidence()
		verdicts = append(verdicts, Readmitted{Upstream: least.name, Reason: ReadmittedForFloor})
	}
	return verdicts
}

func (t *Tracker) leastSuspectEjected() *upstream {
	var least *upstream
	for _, candidate := range t.upstreams {
		ejected := candidate.state == Out || candidate.state == Trial
		if !ejected || candidate.leaving || candidate.cause == CauseUnreachable {
			continue
		}
		if least == nil || candidate.maxEvidence() < least.maxEvidence() {
			least = candidate
		}
	}
	return least
}
