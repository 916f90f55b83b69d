package health

import "time"

// Outcome is how one request to an upstream ended.
type Outcome uint8

// The outcomes of a request to an upstream.
const (
	// Success is a complete answer that is no server error.
	Success Outcome = iota
	// Failed is a complete answer with a server error.
	Failed
	// TimedOut is a request whose deadline passed.
	TimedOut
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Lost is a connection that broke after the request was written.
	Lost
	// Shed is a documented refusal by the upstream.
	Shed
	// Cancelled is a request that the caller gave up.
	Cancelled
)

// String returns the name of the outcome in dumps and metrics.
func (o Outcome) String() string {
	names := [...]string{"success", "failed", "timed_out", "unreachable", "lost", "shed", "cancelled"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// Sample is the evidence of one ended request.
type Sample struct {
	Upstream string
	Reporter string
	Route    string
	Outcome  Outcome
	Duration time.Duration
}

// Verdict is a decision about an upstream.
type Verdict interface{ isVerdict() }

// Ejected takes an upstream out until its trial.
type Ejected struct {
	Upstream string
	Cause    Cause
	Until    time.Time
}

// FloorReached reports an ejection that the capacity floor forbids.
type FloorReached struct {
	Upstream string
	Cause    Cause
}

// PathCut reports failures that only one reporter sees.
type PathCut struct {
	Upstream string
	Reporter string
}

// Readmitted puts an upstream back in use.
type Readmitted struct {
	Upstream string
	Reason   ReturnReason
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

// ReturnReason is why an upstream is back in use.
type ReturnReason string

// The reasons of a return.
const (
	ReturnTrial ReturnReason = "trial_passed"
	ReturnFloor ReturnReason = "floor"
)
