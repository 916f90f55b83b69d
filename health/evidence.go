package health

import (
	"math"
	"time"
)

// noteReporter remembers when a second reporter was last heard.
func (t *Tracker) noteReporter(now time.Time, reporter string) {
	if reporter != t.reporter {
		t.reporter = reporter
		t.otherAt = now
	}
}

func (t *Tracker) soleReporter(now time.Time) bool {
	return now.Sub(t.otherAt) > soleReporterPeriod
}

// observeUnreachable tells a crashed upstream from a path that is cut for one
// reporter.
func (t *Tracker) observeUnreachable(now time.Time, u *upstream, sample Sample) []Verdict {
	othersReachIt := u.lastSuccessFrom != sample.Reporter && now.Sub(u.lastSuccess) < pathCutPeriod
	if othersReachIt && !u.lastSuccess.IsZero() {
		return []Verdict{PathCut{Upstream: u.name, Reporter: sample.Reporter}}
	}
	u.unreachable++
	if u.state == Out || (u.state != Trial && u.unreachable < crashReports) {
		return nil
	}
	u.state = Out
	u.cause = CauseUnreachable
	u.until = now.Add(crashBackoff)
	verdicts := []Verdict{Ejected{Upstream: u.name, Cause: CauseUnreachable, Until: u.until}}
	return append(verdicts, t.keepFloor()...)
}

func (t *Tracker) observeWork(now time.Time, u *upstream, sample Sample) []Verdict {
	if sample.Outcome == TimedOut && t.baselines.explains(sample.Route, sample.Duration) {
		return nil
	}
	failed := sample.Outcome != Success
	deviation, judged := 0.0, false
	if !failed {
		deviation, judged = t.baselines.deviation(sample.Route, sample.Duration)
		u.unreachable = 0
		u.lastSuccess = now
		u.lastSuccessFrom = sample.Reporter
	}
	if u.state == Trial {
		return t.observeTrial(now, u, failed, deviation)
	}
	t.addFailure(u, failed, sample.Reporter)
	if !failed && judged && u.state == Healthy {
		t.addSlowness(now, u, deviation, sample.Reporter)
	}
	if u.state == Out {
		return nil
	}
	return t.judge(now, u)
}

func (t *Tracker) addFailure(u *upstream, failed bool, reporter string) {
	base := t.peerFailureRate(u)
	u.rare.add(failureRatio(failed, base, base+math.Max(sickRise, sickRiseFactor*base)), reporter)
	u.broad.add(failureRatio(failed, base, broadSickRate), reporter)
	value := 0.0
	if failed {
		value = 1
	}
	u.failureRate += failureWeight * (value - u.failureRate)
}

func (t *Tracker) addSlowness(now time.Time, u *upstream, deviation float64, reporter string) {
	relative := deviation - math.Max(0, t.peerDeviation(u))
	if u.slow.sum < alarmThreshold/2 {
		t.baselines.learnSigma(relative)
	}
	u.slow.addWithin(now, slowRatio(relative, t.baselines.sigma), reporter)
	u.deviation += fastWeight * (deviation - u.deviation)
}

// peerFailureRate returns the median failure rate of the other upstreams, within
// the bounds that the tests can work with.
func (t *Tracker) peerFailureRate(u *upstream) float64 {
	return math.Max(minFailureRate, math.Min(maxFailureRate, t.rawPeerFailureRate(u)))
}

func (t *Tracker) rawPeerFailureRate(u *upstream) float64 {
	return t.peerMedian(u, func(peer *upstream) float64 { return peer.failureRate })
}

// peerDeviation returns the median shift of the other upstreams' latency.
func (t *Tracker) peerDeviation(u *upstream) float64 {
	return t.peerMedian(u, func(peer *upstream) float64 { return peer.deviation })
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
