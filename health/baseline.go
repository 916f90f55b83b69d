package health

import (
	"math"
	"slices"
	"time"
)

// The constants of the running estimates.
const (
	medianStep       = 0.02
	medianFastStep   = 0.2
	minBaseline      = 20
	fastWeight       = 1.0 / 16
	failureWeight    = 1.0 / 16
	sigmaWeight      = 1.0 / 512
	initialSigma     = 0.6
	minSigma         = 0.3
	maxSigma         = 1.5
	maxDeviation     = 3
	minFailureRate   = 0.01
	maxFailureRate   = 0.55
	maxRoutes        = 512
	overflowRouteKey = ""
)

// baseline is a running median of the logarithm of a route's latency in
// seconds.
type baseline struct {
	median float64
	count  int
}

func (b *baseline) observe(logDuration float64) {
	if b.count == 0 {
		b.median = logDuration
	}
	b.count++
	step := medianStep
	if b.count < minBaseline {
		step = medianFastStep
	}
	switch {
	case logDuration > b.median:
		b.median += step
	case logDuration < b.median:
		b.median -= step
	}
}

func (b *baseline) ready() bool {
	return b.count >= minBaseline
}

// baselines keeps one baseline a route, and one for all routes beyond the
// bound.
type baselines struct {
	routes map[string]*baseline
	sigma  float64
}

func newBaselines() *baselines {
	return &baselines{routes: make(map[string]*baseline), sigma: initialSigma}
}

func (b *baselines) of(route string) *baseline {
	if found, known := b.routes[route]; known {
		return found
	}
	if len(b.routes) >= maxRoutes {
		route = overflowRouteKey
	}
	if found, known := b.routes[route]; known {
		return found
	}
	added := &baseline{}
	b.routes[route] = added
	return added
}

// deviation returns how far a duration is above its route's median, in
// logarithms, and whether the baseline is known well enough to judge by.
func (b *baselines) deviation(route string, duration time.Duration) (float64, bool) {
	logDuration := math.Log(math.Max(duration.Seconds(), time.Microsecond.Seconds()))
	base := b.of(route)
	ready := base.ready()
	deviation := logDuration - base.median
	base.observe(logDuration)
	return math.Max(-maxDeviation, math.Min(maxDeviation, deviation)), ready
}

// explains reports whether a healthy upstream may well take as long as a request
// was given: its deadline then says nothing about the upstream.
func (b *baselines) explains(route string, given time.Duration) bool {
	base, known := b.routes[route]
	if !known || !base.ready() {
		return false
	}
	return math.Log(math.Max(given.Seconds(), time.Microsecond.Seconds()))-base.median < slowShift
}

// learnSigma moves the estimate of the spread of healthy latency.
func (b *baselines) learnSigma(deviation float64) {
	variance := b.sigma * b.sigma
	variance += sigmaWeight * (deviation*deviation - variance)
	b.sigma = math.Max(minSigma, math.Min(maxSigma, math.Sqrt(variance)))
}

// medianOf returns the median of values, or otherwise when there are none; it
// reorders values.
func medianOf(values []float64, otherwise float64) float64 {
	if len(values) == 0 {
		return otherwise
	}
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}
