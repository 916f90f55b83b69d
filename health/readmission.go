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

// observeTrial records the result of a trial request. A failure ends the trial with
// another ejection, unless the peers fail too. After trialSamples successes the
// upstream is readmitted, or ejected again if it was slow on average. An upstream
// that was ejected as unreachable is cold at first, since it may have restarted.
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

// enforceFloor readmits ejected upstreams, those with the least evidence against
// them first, while the healthy capacity is below the floor.
func (t *Tracker) enforceFloor() []Verdict {
	var verdicts []Verdict
	for t.Capacity() < t.floorSlots {
		least := t.ejectedWithLeastEvidence()
		if least == nil {
			return verdicts
		}
		least.state = Healthy
		least.clearEvidence()
		verdicts = append(verdicts, Readmitted{Upstream: least.name, Reason: ReadmittedForFloor})
	}
	return verdicts
}

// ejectedWithLeastEvidence returns the upstream to readmit next for the floor, or nil
// if there is none. Leaving and unreachable upstreams are left out, because they
// cannot take requests.
func (t *Tracker) ejectedWithLeastEvidence() *upstream {
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
