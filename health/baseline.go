package health

import (
	"math"
	"slices"
	"time"
)

// The parameters of the running estimates.
const (
	medianStep         = 0.02
	medianFastStep     = 0.2
	minBaselineSamples = 20
	latencyWeight      = 1.0 / 16
	failureWeight      = 1.0 / 16
	sigmaWeight        = 1.0 / 512
	initialSigma       = 0.6
	minSigma           = 0.3
	maxSigma           = 1.5
	maxDeviation       = 3
	minFailureRate     = 0.01
	maxFailureRate     = 0.55
	maxRoutes          = 512
	overflowRouteKey   = ""
)

// baseline is a running estimate of the median of a route's log latency, in
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
	if b.count < minBaselineSamples {
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
	return b.count >= minBaselineSamples
}

// baselines holds one baseline per route. Routes beyond maxRoutes share one
// baseline. Sigma is the standard deviation of healthy log latency.
type baselines struct {
	routes map[string]*baseline
	sigma  float64
}

func newBaselines() *baselines {
	return &baselines{routes: make(map[string]*baseline), sigma: initialSigma}
}

func (b *baselines) get(route string) *baseline {
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

// deviation returns how far the logarithm of a duration lies above its route's
// median, and whether the baseline has enough samples for comparison. It then
// adds the duration to the baseline.
func (b *baselines) deviation(route string, duration time.Duration) (float64, bool) {
	logDuration := math.Log(math.Max(duration.Seconds(), time.Microsecond.Seconds()))
	base := b.get(route)
	ready := base.ready()
	deviation := logDuration - base.median
	base.observe(logDuration)
	return math.Max(-maxDeviation, math.Min(maxDeviation, deviation)), ready
}

// explainsTimeout reports whether a healthy upstream may well need the whole time
// given to a request. A timeout is then no evidence against the upstream.
func (b *baselines) explainsTimeout(route string, given time.Duration) bool {
	base, known := b.routes[route]
	if !known || !base.ready() {
		return false
	}
	return math.Log(math.Max(given.Seconds(), time.Microsecond.Seconds()))-base.median < slownessShift
}

// learnSigma updates the estimate of the spread of healthy latency.
func (b *baselines) learnSigma(deviation float64) {
	variance := b.sigma * b.sigma
	variance += sigmaWeight * (deviation*deviation - variance)
	b.sigma = math.Max(minSigma, math.Min(maxSigma, math.Sqrt(variance)))
}

// medianOf returns the median of values, or defaultValue if there are none. It sorts
// values in place.
func medianOf(values []float64, defaultValue float64) float64 {
	if len(values) == 0 {
		return defaultValue
	}
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}
