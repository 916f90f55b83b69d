package broker

import (
	"math"
	"time"

	"dandeliondoor/model"
)

// Parameters of the estimates of durations and demand.
const (
	durationSmoothing    = 1.0 / 32
	minRouteSamples      = 16
	longDurationRatio    = 6
	shortDurationRatio   = 2
	initialShortDuration = 20 * time.Millisecond
	initialLongDuration  = 400 * time.Millisecond
	demandWindow         = 250 * time.Millisecond
	demandRiseSmoothing  = 0.5
	demandFallSmoothing  = 0.1
	longDemandSmoothing  = 0.05
	maxRouteEstimates    = 512
	shortMedianStep      = 0.02
	minDurationSeconds   = 1e-6
)

// estimator estimates the durations of classes and routes, and the demand for
// slots by class.
type estimator struct {
	routes      map[string]*routeEstimate
	means       [2]float64
	shortMedian float64

	windowStart time.Time
	arrivals    [2]int
	rates       [2]float64
}

type routeEstimate struct {
	logMean    float64
	count      int
	class      model.Class
	classified bool
}

func newEstimator() *estimator {
	return &estimator{
		routes:      make(map[string]*routeEstimate),
		means:       [2]float64{initialShortDuration.Seconds(), initialLongDuration.Seconds()},
		shortMedian: math.Log(initialShortDuration.Seconds()),
	}
}

// classOf returns the class of a route as classified by its measured durations,
// or the declared class until the measurements are conclusive.
func (e *estimator) classOf(route string, declared model.Class) model.Class {
	estimate, known := e.routes[route]
	if !known || !estimate.classified {
		return declared
	}
	return estimate.class
}

// meanDuration returns the mean duration of a class.
func (e *estimator) meanDuration(class model.Class) time.Duration {
	return time.Duration(e.means[class] * float64(time.Second))
}

// recordArrival counts an ask for the estimate of demand.
func (e *estimator) recordArrival(now time.Time, class model.Class) {
	e.closeWindow(now)
	e.arrivals[class]++
}

// demand returns the average number of slots that a class keeps busy.
func (e *estimator) demand(now time.Time, class model.Class) float64 {
	e.closeWindow(now)
	return e.rates[class] * e.means[class]
}

// longShare returns the share of long requests in the total demand.
func (e *estimator) longShare(now time.Time) float64 {
	short, long := e.demand(now, model.ClassShort), e.demand(now, model.ClassLong)
	if long == 0 {
		return 0
	}
	return long / (short + long)
}

// closeWindow updates the arrival rates at the end of a window. The rate of short
// requests rises faster than it falls; long requests are rare and need more
// smoothing.
func (e *estimator) closeWindow(now time.Time) {
	elapsed := now.Sub(e.windowStart)
	if elapsed < demandWindow {
		return
	}
	for class := range e.rates {
		rate := float64(e.arrivals[class]) / elapsed.Seconds()
		e.rates[class] += e.demandWeight(model.Class(class), rate, elapsed) * (rate - e.rates[class])
		e.arrivals[class] = 0
	}
	e.windowStart = now
}

// demandWeight returns the weight of the last window's rate in the running average.
// After a gap of more than 10 windows, the previous average no longer counts.
func (e *estimator) demandWeight(class model.Class, rate float64, elapsed time.Duration) float64 {
	switch {
	case elapsed > 10*demandWindow:
		return 1
	case class == model.ClassLong:
		return longDemandSmoothing
	case rate > e.rates[class]:
		return demandRiseSmoothing
	default:
		return demandFallSmoothing
	}
}

// recordCompletion updates the estimates with the duration of a successful request.
func (e *estimator) recordCompletion(route string, class model.Class, duration time.Duration) {
	seconds := math.Max(duration.Seconds(), minDurationSeconds)
	e.means[class] += durationSmoothing * (seconds - e.means[class])
	logSeconds := math.Log(seconds)
	if class == model.ClassShort {
		e.updateShortMedian(logSeconds)
	}
	e.updateRoute(route, class, logSeconds)
}

func (e *estimator) updateShortMedian(logSeconds float64) {
	if logSeconds > e.shortMedian {
		e.shortMedian += shortMedianStep
		return
	}
	e.shortMedian -= shortMedianStep
}

// updateRoute classifies a route by the ratio of its mean duration to the median
// duration of short requests. Between shortDurationRatio and longDurationRatio it
// keeps its class.
func (e *estimator) updateRoute(route string, class model.Class, logSeconds float64) {
	estimate, known := e.routes[route]
	if !known {
		if len(e.routes) >= maxRouteEstimates {
			return
		}
		estimate = &routeEstimate{logMean: logSeconds, class: class}
		e.routes[route] = estimate
	}
	estimate.count++
	estimate.logMean += durationSmoothing * (logSeconds - estimate.logMean)
	if estimate.count < minRouteSamples {
		return
	}
	switch logRatio := estimate.logMean - e.shortMedian; {
	case logRatio > math.Log(longDurationRatio):
		estimate.class, estimate.classified = model.ClassLong, true
	case logRatio < math.Log(shortDurationRatio):
		estimate.class, estimate.classified = model.ClassShort, true
	}
}
