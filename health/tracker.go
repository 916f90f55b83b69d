package health

import (
	"math"
	"time"
)

// The parameters of ejection and readmission.
const (
	firstBackoff          = 2 * time.Second
	maxBackoff            = time.Minute
	backoffResetAfter     = 10 * time.Minute
	coldPeriod            = 10 * time.Second
	crashBackoff          = 500 * time.Millisecond
	trialSamples          = 5
	minUnreachableReports = 2
	singleReporterPeriod  = 5 * time.Second
	minFailureRateRise    = 0.15
	failureRateRiseFactor = 0.6
	totalFailureRate      = 0.9
	peerFailureFactor     = 1.5
	peerFailureMargin     = 0.1
	poolWideFailureRate   = 0.5
	pathCutPeriod         = time.Second
)

// Tracker tracks the health of the upstreams in one pool.
type Tracker struct {
	upstreams          []*upstream
	byName             map[string]*upstream
	floorSlots         int
	baselines          *baselines
	lastReporter       string
	lastReporterChange time.Time
	scratch            []float64
}

// NewTracker returns a tracker whose ejections leave at least floorSlots slots
// of healthy capacity.
func NewTracker(floorSlots int) *Tracker {
	return &Tracker{byName: make(map[string]*upstream), floorSlots: floorSlots, baselines: newBaselines()}
}

// SetFloor changes the floor and readmits the upstreams needed to meet it.
func (t *Tracker) SetFloor(floorSlots int) []Verdict {
	t.floorSlots = floorSlots
	return t.enforceFloor()
}

// Add starts tracking an upstream, or updates the slots of a known one. The latency
// of a cold upstream is not evaluated during its cold period.
func (t *Tracker) Add(now time.Time, name string, slots int, cold bool) {
	if known, found := t.byName[name]; found {
		known.slots = slots
		return
	}
	added := &upstream{name: name, slots: slots}
	if cold {
		added.state = Cold
		added.until = now.Add(coldPeriod)
	}
	t.byName[name] = added
	t.upstreams = append(t.upstreams, added)
}

// Remove stops tracking an upstream and readmits the upstreams needed to meet
// the floor.
func (t *Tracker) Remove(name string) []Verdict {
	delete(t.byName, name)
	for i, candidate := range t.upstreams {
		if candidate.name == name {
			t.upstreams = append(t.upstreams[:i], t.upstreams[i+1:]...)
			break
		}
	}
	return t.enforceFloor()
}

// SetLeaving sets whether an upstream is leaving and takes no new requests, and
// readmits the upstreams needed to meet the floor.
func (t *Tracker) SetLeaving(name string, leaving bool) []Verdict {
	if found, known := t.byName[name]; known {
		found.leaving = leaving
	}
	return t.enforceFloor()
}

// SetCold restarts the cold period of an upstream that reports that it is warming
// up, and readmits the upstreams needed to meet the floor. It has no effect on an
// ejected upstream.
func (t *Tracker) SetCold(now time.Time, name string) []Verdict {
	found, known := t.byName[name]
	if !known || (found.state != Healthy && found.state != Cold) {
		return nil
	}
	found.state = Cold
	found.until = now.Add(coldPeriod)
	return t.enforceFloor()
}

// State returns the state of an upstream, which is Out for an unknown upstream.
func (t *Tracker) State(name string) State {
	if found, known := t.byName[name]; known {
		return found.state
	}
	return Out
}

// OutlierScore returns the evidence against an upstream as a fraction of
// alarmThreshold, capped at 1.
func (t *Tracker) OutlierScore(name string) float64 {
	found, known := t.byName[name]
	if !known {
		return 0
	}
	return math.Min(found.maxEvidence()/alarmThreshold, 1)
}

// TrialWaiting returns when the ejection before an upstream's trial ended, if the
// upstream is on trial and thus waits for trial requests.
func (t *Tracker) TrialWaiting(name string) (time.Time, bool) {
	found, known := t.byName[name]
	if !known || found.state != Trial {
		return time.Time{}, false
	}
	return found.until, true
}

// Capacity returns the healthy capacity: the number of slots of the upstreams that
// are neither out, on trial, leaving nor cold.
func (t *Tracker) Capacity() int {
	slots := 0
	for _, candidate := range t.upstreams {
		if candidate.isHealthyCapacity() {
			slots += candidate.slots
		}
	}
	return slots
}

// Tick moves upstreams whose cold period or ejection has ended to their next
// state.
func (t *Tracker) Tick(now time.Time) {
	for _, candidate := range t.upstreams {
		if now.Before(candidate.until) {
			continue
		}
		switch candidate.state {
		case Cold:
			candidate.state = Healthy
		case Out:
			candidate.state = Trial
			candidate.trialSuccesses = 0
			candidate.trialDeviation = 0
		case Healthy:
			t.resetBackoff(now, candidate)
		case Trial:
		}
	}
}

// Observe records the result of one finished request.
func (t *Tracker) Observe(now time.Time, sample Sample) []Verdict {
	observed, known := t.byName[sample.Upstream]
	if !known {
		return nil
	}
	t.recordReporter(now, sample.Reporter)
	switch sample.Outcome {
	case Shed, Cancelled:
		return nil
	case Unreachable:
		return t.observeUnreachable(now, observed, sample)
	case Success, Failed, TimedOut, Lost:
		return t.observeResult(now, observed, sample)
	default:
		return nil
	}
}

// evaluate ejects an upstream when there is enough evidence against it.
func (t *Tracker) evaluate(now time.Time, u *upstream) []Verdict {
	for _, test := range []struct {
		cause     Cause
		sum       *cusum
		threshold float64
	}{
		{cause: CauseFailures, sum: &u.totalFailure, threshold: totalFailureThreshold},
		{cause: CauseFailures, sum: &u.partialFailure, threshold: alarmThreshold},
		{cause: CauseSlow, sum: &u.slowness, threshold: slownessThreshold},
	} {
		if test.sum.sum < test.threshold {
			continue
		}
		if test.cause == CauseFailures && t.peersFailSimilarly(u) {
			test.sum.reset()
			continue
		}
		reporter, corroborated := test.sum.topReporter()
		if !corroborated && !t.hasSingleReporter(now) {
			return []Verdict{PathCut{Upstream: u.name, Reporter: reporter}}
		}
		return t.eject(now, u, test.cause)
	}
	return nil
}

// peersFailSimilarly reports whether the upstream's recent failure rate is close
// to that of its peers, or most requests to the peers fail. The evidence may have
// been collected against a peer rate from before a fault that affects the whole pool.
func (t *Tracker) peersFailSimilarly(u *upstream) bool {
	rate := t.rawPeerFailureRate(u)
	return rate > poolWideFailureRate || u.failureRate < peerFailureFactor*rate+peerFailureMargin
}

func (t *Tracker) eject(now time.Time, u *upstream, cause Cause) []Verdict {
	capacity := t.Capacity()
	if u.isHealthyCapacity() {
		capacity -= u.slots
	}
	if capacity < t.floorSlots || t.mostAreUnhealthy() {
		return []Verdict{FloorReached{Upstream: u.name, Cause: cause}}
	}
	return []Verdict{t.startEjection(now, u, cause)}
}

// mostAreUnhealthy reports whether more than half of the pool looks unhealthy,
// which points at a shared cause.
func (t *Tracker) mostAreUnhealthy() bool {
	unhealthy := 0
	for _, candidate := range t.upstreams {
		if candidate.state == Out || candidate.maxEvidence() >= alarmThreshold/2 {
			unhealthy++
		}
	}
	return 2*unhealthy > len(t.upstreams)
}

func (t *Tracker) startEjection(now time.Time, u *upstream, cause Cause) Verdict {
	u.backoff = min(max(2*u.backoff, firstBackoff), maxBackoff)
	u.state = Out
	u.cause = cause
	u.until = now.Add(u.backoff)
	return Ejected{Upstream: u.name, Cause: cause, Until: u.until}
}
