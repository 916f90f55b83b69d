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
	windowShort int
	shortRate   float64
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
	if class == model.ClassShort {
		l.windowShort++
	}
}

// shortDemand returns the slots that short work keeps busy on average.
func (l *learner) shortDemand(now time.Time) float64 {
	l.roll(now)
	return l.shortRate * l.means[model.ClassShort]
}

// roll closes the current window once it is over; demand rises faster than it
// falls.
func (l *learner) roll(now time.Time) {
	elapsed := now.Sub(l.windowStart)
	if elapsed < demandPeriod {
		return
	}
	rate := float64(l.windowShort) / elapsed.Seconds()
	weight := demandFallWeight
	if rate > l.shortRate {
		weight = demandRiseWeight
	}
	if elapsed > 10*demandPeriod {
		weight = 1
	}
	l.shortRate += weight * (rate - l.shortRate)
	l.windowStart = now
	l.windowShort = 0
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
