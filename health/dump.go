package health

import (
	"math"
	"time"
)

// UpstreamState is the state dump of one upstream.
type UpstreamState struct {
	Name        string        `yaml:"name"`
	State       string        `yaml:"state"`
	Leaving     bool          `yaml:"leaving"`
	Cause       Cause         `yaml:"cause,omitempty"`
	Remaining   time.Duration `yaml:"remaining,omitempty"`
	FailureRate float64       `yaml:"failure_rate"`
	Failures    float64       `yaml:"failure_evidence"`
	Slowness    float64       `yaml:"slow_evidence"`
}

// Dump returns the state of each upstream.
func (t *Tracker) Dump(now time.Time) []UpstreamState {
	states := make([]UpstreamState, 0, len(t.upstreams))
	for _, u := range t.upstreams {
		state := UpstreamState{
			Name:        u.name,
			State:       u.state.String(),
			Leaving:     u.leaving,
			FailureRate: math.Round(u.failureRate*1000) / 1000,
			Failures:    math.Round(max(u.partialFailure.sum, u.totalFailure.sum)),
			Slowness:    math.Round(u.slowness.sum),
		}
		if u.state == Out {
			state.Cause = u.cause
		}
		if u.state != Healthy && now.Before(u.until) {
			state.Remaining = u.until.Sub(now).Round(time.Millisecond)
		}
		states = append(states, state)
	}
	return states
}
