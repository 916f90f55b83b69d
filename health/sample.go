package health

import "time"

// Outcome is how one request to an upstream ended.
type Outcome uint8

// The outcomes of a request to an upstream.
const (
	// Success is a complete response other than a server error.
	Success Outcome = iota
	// Failed is a complete response with a server error.
	Failed
	// TimedOut is a request whose deadline expired.
	TimedOut
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Lost is a connection that broke after the request was written.
	Lost
	// Shed is a request that the upstream refused in the documented way for
	// shedding load.
	Shed
	// Cancelled is a request that the caller cancelled.
	Cancelled
)

// String returns the name of the outcome used in state dumps and metrics.
func (o Outcome) String() string {
	names := [...]string{"success", "failed", "timed_out", "unreachable", "lost", "shed", "cancelled"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// Sample is the result of one finished request. Reporter is the daemon that sent
// the request. Duration is the latency: the time until the response started or the
// request failed.
type Sample struct {
	Upstream string
	Reporter string
	Route    string
	Outcome  Outcome
	Duration time.Duration
}

// Verdict is a decision of the Tracker about an upstream.
type Verdict interface{ isVerdict() }

// Ejected takes an upstream out of use until its trial.
type Ejected struct {
	Upstream string
	Cause    Cause
	Until    time.Time
}

// FloorReached reports an ejection that was suppressed, because it would leave
// less capacity than the floor or because most of the pool looks unhealthy.
type FloorReached struct {
	Upstream string
	Cause    Cause
}

// PathCut reports failures that only one reporter sees, which points at the
// network path between that reporter and the upstream and not at the upstream.
type PathCut struct {
	Upstream string
	Reporter string
}

// Readmitted puts an upstream back in use.
type Readmitted struct {
	Upstream string
	Reason   ReadmissionReason
}

var (
	_ Verdict = Ejected{}
	_ Verdict = FloorReached{}
	_ Verdict = PathCut{}
	_ Verdict = Readmitted{}
)

func (Ejected) isVerdict()      {}
func (FloorReached) isVerdict() {}
func (PathCut) isVerdict()      {}
func (Readmitted) isVerdict()   {}

// Cause is why an upstream is out of use.
type Cause string

// The causes of an ejection.
const (
	CauseFailures    Cause = "failures"
	CauseSlow        Cause = "slow"
	CauseTrial       Cause = "trial_failed"
	CauseUnreachable Cause = "unreachable"
)

// ReadmissionReason is why an upstream is back in use.
type ReadmissionReason string

// The reasons for a readmission.
const (
	ReadmittedAfterTrial ReadmissionReason = "trial_passed"
	ReadmittedForFloor   ReadmissionReason = "floor"
)
