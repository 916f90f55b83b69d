package health

import (
	"math"
	"time"
)

// The times and counts of ejection and return.
const (
	firstBackoff       = 2 * time.Second
	maxBackoff         = time.Minute
	backoffForgetAfter = 10 * time.Minute
	coldPeriod         = 10 * time.Second
	crashBackoff       = 500 * time.Millisecond
	trialSamples       = 5
	crashReports       = 2
	soleReporterPeriod = 5 * time.Second
	sickRise           = 0.15
	sickRiseFactor     = 0.6
	broadSickRate      = 0.9
	sharedFactor       = 1.5
	sharedMargin       = 0.1
	mostFail           = 0.5
	pathCutPeriod      = time.Second
)

// Tracker judges the upstreams of one pool.
type Tracker struct {
	upstreams  []*upstream
	byName     map[string]*upstream
	floorSlots int
	baselines  *baselines
	reporter   string
	otherAt    time.Time
	scratch    []float64
}

// NewTracker returns a tracker whose ejections leave at least floorSlots slots
// of healthy capacity.
func NewTracker(floorSlots int) *Tracker {
	return &Tracker{byName: make(map[string]*upstream), floorSlots: floorSlots, baselines: newBaselines()}
}

// SetFloor changes the floor and readmits upstreams that it needs.
func (t *Tracker) SetFloor(floorSlots int) []Verdict {
	t.floorSlots = floorSlots
	return t.keepFloor()
}

// Add starts to track an upstream; a cold one is not judged by latency for a
// time.
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

// Remove forgets an upstream.
func (t *Tracker) Remove(name string) []Verdict {
	delete(t.byName, name)
	for i, candidate := range t.upstreams {
		if candidate.name == name {
			t.upstreams = append(t.upstreams[:i], t.upstreams[i+1:]...)
			break
		}
	}
	return t.keepFloor()
}

// SetLeaving marks an upstream that takes no new work.
func (t *Tracker) SetLeaving(name string, leaving bool) []Verdict {
	if found, known := t.byName[name]; known {
		found.leaving = leaving
	}
	return t.keepFloor()
}

// SetCold restarts the cold period of an upstream that says it is warming.
func (t *Tracker) SetCold(now time.Time, name string) []Verdict {
	found, known := t.byName[name]
	if !known || (found.state != Healthy && found.state != Cold) {
		return nil
	}
	found.state = Cold
	found.until = now.Add(coldPeriod)
	return t.keepFloor()
}

// State returns the standing of an upstream.
func (t *Tracker) State(name string) State {
	if found, known := t.byName[name]; known {
		return found.state
	}
	return Out
}

// Sickness returns the evidence against an upstream, from 0 for none to 1 for
// enough.
func (t *Tracker) Sickness(name string) float64 {
	found, known := t.byName[name]
	if !known {
		return 0
	}
	return math.Min(found.sickness()/alarmThreshold, 1)
}

// TrialWaiting reports since when an upstream waits for a trial request.
func (t *Tracker) TrialWaiting(name string) (time.Time, bool) {
	found, known := t.byName[name]
	if !known || found.state != Trial {
		return time.Time{}, false
	}
	return found.until, true
}

// Capacity returns the slots of the upstreams that are neither out, on trial,
// leaving nor cold.
func (t *Tracker) Capacity() int {
	slots := 0
	for _, candidate := range t.upstreams {
		if candidate.counts() {
			slots += candidate.slots
		}
	}
	return slots
}

// Tick moves upstreams whose time is over to their next state.
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
			candidate.trialGood = 0
			candidate.trialDeviation = 0
		case Healthy:
			t.forgetBackoff(now, candidate)
		case Trial:
		}
	}
}

// Observe takes the evidence of one ended request.
func (t *Tracker) Observe(now time.Time, sample Sample) []Verdict {
	observed, known := t.byName[sample.Upstream]
	if !known {
		return nil
	}
	t.noteReporter(now, sample.Reporter)
	switch sample.Outcome {
	case Shed, Cancelled:
		return nil
	case Unreachable:
		return t.observeUnreachable(now, observed, sample)
	case Success, Failed, TimedOut, Lost:
		return t.observeWork(now, observed, sample)
	default:
		return nil
	}
}

// judge ejects an upstream against which the evidence suffices.
func (t *Tracker) judge(now time.Time, u *upstream) []Verdict {
	for _, test := range []struct {
		cause     Cause
		sum       *cusum
		threshold float64
	}{
		{cause: CauseFailures, sum: &u.broad, threshold: broadThreshold},
		{cause: CauseFailures, sum: &u.rare, threshold: alarmThreshold},
		{cause: CauseSlow, sum: &u.slow, threshold: slowThreshold},
	} {
		if test.sum.sum < test.threshold {
			continue
		}
		if test.cause == CauseFailures && t.peersFailToo(u) {
			test.sum.reset()
			continue
		}
		reporter, shared := test.sum.loudest()
		if !shared && !t.soleReporter(now) {
			return []Verdict{PathCut{Upstream: u.name, Reporter: reporter}}
		}
		return t.eject(now, u, test.cause)
	}
	return nil
}

// peersFailToo reports whether the recent failures of an upstream are no worse
// than what its peers have, for the rate that the tests started from may be
// older than a trouble that all share.
func (t *Tracker) peersFailToo(u *upstream) bool {
	rate := t.rawPeerFailureRate(u)
	return rate > mostFail || u.failureRate < sharedFactor*rate+sharedMargin
}

func (t *Tracker) eject(now time.Time, u *upstream, cause Cause) []Verdict {
	capacity := t.Capacity()
	if u.counts() {
		capacity -= u.slots
	}
	if capacity < t.floorSlots || t.mostAreBad() {
		return []Verdict{FloorReached{Upstream: u.name, Cause: cause}}
	}
	return []Verdict{t.putOut(now, u, cause)}
}

// mostAreBad reports whether half of the pool looks sick, which points at
// something the upstreams share.
func (t *Tracker) mostAreBad() bool {
	bad := 0
	for _, candidate := range t.upstreams {
		if candidate.state == Out || candidate.sickness() >= alarmThreshold/2 {
			bad++
		}
	}
	return 2*bad > len(t.upstreams)
}

func (t *Tracker) putOut(now time.Time, u *upstream, cause Cause) Verdict {
	u.backoff = min(max(2*u.backoff, firstBackoff), maxBackoff)
	u.state = Out
	u.cause = cause
	u.until = now.Add(u.backoff)
	return Ejected{Upstream: u.name, Cause: cause, Until: u.until}
}
