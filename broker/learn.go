package broker

import (
	"math"
	"time"

	"dandeliondoor/model"
)

// The constants of the learned durations and demand.
const (
	durationWeight     = 1.0 / 32
	minLearned         = 16
	longRatio          = 6
	shortRatio         = 2
	initialShort       = 20 * time.Millisecond
	initialLong        = 400 * time.Millisecond
	demandPeriod       = 250 * time.Millisecond
	demandRiseWeight   = 0.5
	demandFallWeight   = 0.1
	longDemandWeight   = 0.05
	maxLearnedRoutes   = 512
	shortMedianStep    = 0.02
	minMeasuredSeconds = 1e-6
)

// learner estimates durations of classes and routes, and the demand for slots
// by short work.
type learner struct {
	routes      map[string]*routeDuration
	means       [2]float64
	shortMedian float64

	windowStart time.Time
	arrivals    [2]int
	rates       [2]float64
}

type routeDuration struct {
	logMean float64
	count   int
	class   model.Class
	decided bool
}

func newLearner() *learner {
	return &learner{
		routes:      make(map[string]*routeDuration),
		means:       [2]float64{initialShort.Seconds(), initialLong.Seconds()},
		shortMedian: math.Log(initialShort.Seconds()),
	}
}

// classOf corrects a declared class by the learned duration of the route.
func (l *learner) classOf(route string, declared model.Class) model.Class {
	learned, known := l.routes[route]
	if !known || !learned.decided {
		return declared
	}
	return learned.class
}

// mean returns the mean duration of a class.
func (l *learner) mean(class model.Class) time.Duration {
	return time.Duration(l.means[class] * float64(time.Second))
}

// arrived counts an ask for the estimate of demand.
func (l *learner) arrived(now time.Time, class model.Class) {
	l.roll(now)
	l.arrivals[class]++
}

// demand returns the slots that the work of a class keeps busy on average.
func (l *learner) demand(now time.Time, class model.Class) float64 {
	l.roll(now)
	return l.rates[class] * l.means[class]
}

// longPart returns the part of all demand that is long work.
func (l *learner) longPart(now time.Time) float64 {
	short, long := l.demand(now, model.ClassShort), l.demand(now, model.ClassLong)
	if long == 0 {
		return 0
	}
	return long / (short + long)
}

// roll closes the current window once it is over. The estimate for short work
// rises faster than it falls; long work is rare and needs a slower one.
func (l *learner) roll(now time.Time) {
	elapsed := now.Sub(l.windowStart)
	if elapsed < demandPeriod {
		return
	}
	for class := range l.rates {
		rate := float64(l.arrivals[class]) / elapsed.Seconds()
		l.rates[class] += l.weight(model.Class(class), rate, elapsed) * (rate - l.rates[class])
		l.arrivals[class] = 0
	}
	l.windowStart = now
}

func (l *learner) weight(class model.Class, rate float64, elapsed time.Duration) float64 {
	switch {
	case elapsed > 10*demandPeriod:
		return 1
	case class == model.ClassLong:
		return longDemandWeight
	case rate > l.rates[class]:
		return demandRiseWeight
	default:
		return demandFallWeight
	}
}

// finished learns from a complete answer.
func (l *learner) finished(route string, class model.Class, duration time.Duration) {
	seconds := math.Max(duration.Seconds(), minMeasuredSeconds)
	l.means[class] += durationWeight * (seconds - l.means[class])
	logSeconds := math.Log(seconds)
	if class == model.ClassShort {
		l.moveMedian(logSeconds)
	}
	l.learnRoute(route, class, logSeconds)
}

func (l *learner) moveMedian(logSeconds float64) {
	if logSeconds > l.shortMedian {
		l.shortMedian += shortMedianStep
		return
	}
	l.shortMedian -= shortMedianStep
}

func (l *learner) learnRoute(route string, class model.Class, logSeconds float64) {
	learned, known := l.routes[route]
	if !known {
		if len(l.routes) >= maxLearnedRoutes {
			return
		}
		learned = &routeDuration{logMean: logSeconds, class: class}
		l.routes[route] = learned
	}
	learned.count++
	learned.logMean += durationWeight * (logSeconds - learned.logMean)
	if learned.count < minLearned {
		return
	}
	switch ratio := learned.logMean - l.shortMedian; {
	case ratio > math.Log(longRatio):
		learned.class, learned.decided = model.ClassLong, true
	case ratio < math.Log(shortRatio):
		learned.class, learned.decided = model.ClassShort, true
	}
}
