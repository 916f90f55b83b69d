package health

import (
	"math"
	"time"
)

// recordReporter records when the reporter last changed, so that it is known
// whether more than one reporter is active.
func (t *Tracker) recordReporter(now time.Time, reporter string) {
	if reporter != t.lastReporter {
		t.lastReporter = reporter
		t.lastReporterChange = now
	}
}

func (t *Tracker) hasSingleReporter(now time.Time) bool {
	return now.Sub(t.lastReporterChange) > singleReporterPeriod
}

// observeUnreachable distinguishes a crashed upstream from a broken network path
// between it and one reporter.
func (t *Tracker) observeUnreachable(now time.Time, u *upstream, sample Sample) []Verdict {
	othersReachIt := u.lastSuccessFrom != sample.Reporter && now.Sub(u.lastSuccess) < pathCutPeriod
	if othersReachIt && !u.lastSuccess.IsZero() {
		return []Verdict{PathCut{Upstream: u.name, Reporter: sample.Reporter}}
	}
	u.unreachableReports++
	if u.state == Out || (u.state != Trial && u.unreachableReports < minUnreachableReports) {
		return nil
	}
	u.state = Out
	u.cause = CauseUnreachable
	u.until = now.Add(crashBackoff)
	verdicts := []Verdict{Ejected{Upstream: u.name, Cause: CauseUnreachable, Until: u.until}}
	return append(verdicts, t.enforceFloor()...)
}

func (t *Tracker) observeResult(now time.Time, u *upstream, sample Sample) []Verdict {
	if sample.Outcome == TimedOut && t.baselines.explainsTimeout(sample.Route, sample.Duration) {
		return nil
	}
	failed := sample.Outcome != Success
	deviation, hasBaseline := 0.0, false
	if !failed {
		deviation, hasBaseline = t.baselines.deviation(sample.Route, sample.Duration)
		u.unreachableReports = 0
		u.lastSuccess = now
		u.lastSuccessFrom = sample.Reporter
	}
	if u.state == Trial {
		return t.observeTrial(now, u, failed, deviation)
	}
	t.addFailure(u, failed, sample.Reporter)
	if !failed && hasBaseline && u.state == Healthy {
		t.addSlowness(now, u, deviation, sample.Reporter)
	}
	if u.state == Out {
		return nil
	}
	return t.evaluate(now, u)
}

func (t *Tracker) addFailure(u *upstream, failed bool, reporter string) {
	base := t.peerFailureRate(u)
	u.partialFailure.add(failureRatio(failed, base, base+math.Max(minFailureRateRise, failureRateRiseFactor*base)), reporter)
	u.totalFailure.add(failureRatio(failed, base, totalFailureRate), reporter)
	value := 0.0
	if failed {
		value = 1
	}
	u.failureRate += failureWeight * (value - u.failureRate)
}

func (t *Tracker) addSlowness(now time.Time, u *upstream, deviation float64, reporter string) {
	relative := deviation - math.Max(0, t.peerDeviation(u))
	if u.slowness.sum < alarmThreshold/2 {
		t.baselines.learnSigma(relative)
	}
	u.slowness.addLimited(now, slownessRatio(relative, t.baselines.sigma), reporter)
	u.latencyDeviation += latencyWeight * (deviation - u.latencyDeviation)
}

// peerFailureRate returns the median failure rate of the other upstreams, clamped
// to the range in which the failure tests work.
func (t *Tracker) peerFailureRate(u *upstream) float64 {
	return math.Max(minFailureRate, math.Min(maxFailureRate, t.rawPeerFailureRate(u)))
}

func (t *Tracker) rawPeerFailureRate(u *upstream) float64 {
	return t.peerMedian(u, func(peer *upstream) float64 { return peer.failureRate })
}

// peerDeviation returns the median deviation of the other upstreams' log latency.
func (t *Tracker) peerDeviation(u *upstream) float64 {
	return t.peerMedian(u, func(peer *upstream) float64 { return peer.latencyDeviation })
}

func (t *Tracker) peerMedian(u *upstream, value func(*upstream) float64) float64 {
	values := t.scratch[:0]
	for _, peer := range t.upstreams {
		if peer != u && peer.state == Healthy {
			values = append(values, value(peer))
		}
	}
	t.scratch = values
	return medianOf(values, 0)
}
