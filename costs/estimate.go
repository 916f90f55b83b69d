package costs

import (
	"math"
	"time"
)

// Estimate is the expected distribution of the time that a request runs, without the
// time that it waits. It is valid while its Model exists.
type Estimate struct {
	logSeconds float64
	curve      *curve
}

// Scaled returns the estimate for a server that takes factor times as long.
func (e Estimate) Scaled(factor float64) Estimate {
	e.logSeconds += math.Log(factor)
	return e
}

// Known reports whether the estimate comes from a Model; the zero value does not.
func (e Estimate) Known() bool { return e.curve != nil }

// Mean returns the mean.
func (e Estimate) Mean() time.Duration { return toDuration(math.Exp(e.logSeconds) * e.curve.mean()) }

// Exceeds returns the probability that the request runs longer than a limit.
func (e Estimate) Exceeds(limit time.Duration) float64 {
	if limit <= 0 {
		return 1
	}
	return e.curve.survives(math.Log(limit.Seconds()) - e.logSeconds)
}

// Remaining returns the mean time that the request still runs, given that it has run for
// some time.
func (e Estimate) Remaining(ran time.Duration) time.Duration {
	if ran <= 0 {
		return e.Mean()
	}
	z := math.Log(ran.Seconds()) - e.logSeconds
	if z > binStart(curveBins) {
		return ran
	}
	return toDuration(math.Exp(e.logSeconds) * e.curve.remains(z))
}

// Quantile returns the time that a share of such requests does not exceed.
func (e Estimate) Quantile(share float64) time.Duration {
	return toDuration(math.Exp(e.logSeconds + e.curve.quantile(share)))
}

// ExceedsLog is Exceeds for a limit given as the natural logarithm of seconds, for a
// server that takes the exponential of logFactor times as long.
func (e Estimate) ExceedsLog(logLimit, logFactor float64) float64 {
	return e.curve.survives(logLimit - logFactor - e.logSeconds)
}

// Likelihood returns the density of the logarithm of a duration on such a server, up to
// a constant.
func (e Estimate) Likelihood(duration time.Duration, logFactor float64) float64 {
	const halfWidth = 0.2
	z := e.LogRatio(duration) - logFactor
	return e.curve.survives(z-halfWidth) - e.curve.survives(z+halfWidth)
}

// LogRatio returns the natural logarithm of the ratio of a duration to the typical one.
func (e Estimate) LogRatio(duration time.Duration) float64 {
	return math.Log(max(duration.Seconds(), minSeconds)) - e.logSeconds
}

// maxSeconds bounds estimates so that they fit a time.Duration with room for sums.
const maxSeconds = 1e6

func toDuration(value float64) time.Duration {
	return time.Duration(min(value, maxSeconds) * float64(time.Second))
}
