package health

import "time"

// State is the standing of an upstream.
type State uint8

// The states of an upstream.
const (
	// Healthy takes work.
	Healthy State = iota
	// Cold takes little work and is not judged by latency.
	Cold
	// Out takes no work until its trial.
	Out
	// Trial takes one request at a time.
	Trial
)

// String returns the name of the state in dumps and metrics.
func (s State) String() string {
	names := [...]string{"healthy", "cold", "out", "trial"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// upstream is the evidence and standing of one upstream.
type upstream struct {
	name    string
	slots   int
	state   State
	leaving bool
	cause   Cause
	until   time.Time
	backoff time.Duration

	failureRate float64
	deviation   float64
	rare        cusum
	broad       cusum
	slow        cusum

	unreachable     int
	lastSuccess     time.Time
	lastSuccessFrom string

	trialGood      int
	trialDeviation float64
}

// sickness orders upstreams from the least to the most sick.
func (u *upstream) sickness() float64 {
	return max(u.rare.sum, u.broad.sum, u.slow.sum)
}

// counts reports whether the upstream is healthy capacity.
func (u *upstream) counts() bool {
	return u.state == Healthy && !u.leaving
}

func (u *upstream) clearEvidence() {
	u.rare.reset()
	u.broad.reset()
	u.slow.reset()
	u.failureRate = 0
	u.deviation = 0
	u.unreachable = 0
	u.trialGood = 0
	u.trialDeviation = 0
}
