package health

import "time"

// State is the health state of an upstream.
type State uint8

// The states of an upstream.
const (
	// Healthy is an upstream that takes requests.
	Healthy State = iota
	// Cold is an upstream that is warming up: it takes few requests and its
	// latency is not evaluated.
	Cold
	// Out is an ejected upstream, which takes no requests until its trial.
	Out
	// Trial is an ejected upstream that takes one request at a time, to find out
	// whether it has recovered.
	Trial
)

// String returns the name of the state used in state dumps and metrics.
func (s State) String() string {
	names := [...]string{"healthy", "cold", "out", "trial"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// upstream is the health state of one upstream and the evidence against it.
// The field until is the end of the cold period or of the ejection; a readmission
// after a trial sets it to the time of the readmission.
type upstream struct {
	name    string
	slots   int
	state   State
	leaving bool
	cause   Cause
	until   time.Time
	backoff time.Duration

	failureRate      float64
	latencyDeviation float64
	partialFailure   cusum
	totalFailure     cusum
	slowness         cusum

	unreachableReports int
	lastSuccess        time.Time
	lastSuccessFrom    string

	trialSuccesses int
	trialDeviation float64
}

// maxEvidence returns the largest evidence sum against the upstream. It is the
// basis of the outlier score and decides which ejected upstream is readmitted first
// for the floor.
func (u *upstream) maxEvidence() float64 {
	return max(u.partialFailure.sum, u.totalFailure.sum, u.slowness.sum)
}

// isHealthyCapacity reports whether the slots of the upstream count as healthy
// capacity.
func (u *upstream) isHealthyCapacity() bool {
	return u.state == Healthy && !u.leaving
}

func (u *upstream) clearEvidence() {
	u.partialFailure.reset()
	u.totalFailure.reset()
	u.slowness.reset()
	u.failureRate = 0
	u.latencyDeviation = 0
	u.unreachableReports = 0
	u.trialSuccesses = 0
	u.trialDeviation = 0
}
