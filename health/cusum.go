package health

import (
	"math"
	"time"
)

// alarmThreshold is the sum of log-likelihood ratios at which evidence against
// an upstream suffices.
const alarmThreshold = 26

// maxSum bounds the evidence, so that a long sickness is forgotten as fast as a
// short one.
const maxSum = 2 * alarmThreshold

// slowThreshold is alarmThreshold for slowness, above what two pauses of a
// healthy upstream in a row can add.
const slowThreshold = 30

// broadThreshold is alarmThreshold for an upstream that fails nearly all, above
// what two short bursts of failures in a row can add.
const broadThreshold = 34

// minOtherShare is the share of the evidence that has to come from reporters
// other than the loudest one.
const minOtherShare = 0.25

// The bound on the evidence of slowness that one slice of time adds.
const (
	evidenceSlice = 200 * time.Millisecond
	maxPerSlice   = 6
)

// maxReporters bounds the reporters remembered per sum.
const maxReporters = 16

// cusum is a sequential test: a sum of log-likelihood ratios that never falls
// below zero, kept with the part that each reporter added.
type cusum struct {
	sum       float64
	reporters []contribution
	slice     time.Time
	inSlice   float64
}

type contribution struct {
	reporter string
	amount   float64
}

// add adds a ratio and forgets all contributions when the sum is back at zero.
func (c *cusum) add(ratio float64, reporter string) {
	c.sum = math.Min(c.sum+ratio, maxSum)
	if c.sum <= 0 {
		c.reset()
		return
	}
	if ratio > 0 {
		c.credit(reporter, ratio)
	}
}

// addWithin adds a ratio, bounded by what one slice of time may add: answers that
// a single pause delays are one event and no independent evidence.
func (c *cusum) addWithin(now time.Time, ratio float64, reporter string) {
	if now.Sub(c.slice) >= evidenceSlice {
		c.slice, c.inSlice = now, 0
	}
	if ratio > 0 {
		ratio = math.Min(ratio, maxPerSlice-c.inSlice)
		c.inSlice += ratio
	}
	c.add(ratio, reporter)
}

func (c *cusum) reset() {
	c.sum = 0
	c.reporters = c.reporters[:0]
}

func (c *cusum) credit(reporter string, ratio float64) {
	for i := range c.reporters {
		if c.reporters[i].reporter == reporter {
			c.reporters[i].amount += ratio
			return
		}
	}
	if len(c.reporters) < maxReporters {
		c.reporters = append(c.reporters, contribution{reporter: reporter, amount: ratio})
	}
}

// loudest returns the reporter with the largest part and whether the others
// together added enough to stand without it.
func (c *cusum) loudest() (string, bool) {
	var loudest contribution
	total := 0.0
	for _, part := range c.reporters {
		total += part.amount
		if part.amount > loudest.amount {
			loudest = part
		}
	}
	return loudest.reporter, total-loudest.amount >= minOtherShare*alarmThreshold
}

// failureRatio returns the log-likelihood ratio of one outcome between the
// failure rates base and sick.
func failureRatio(failed bool, base, sick float64) float64 {
	if failed {
		return math.Log(sick / base)
	}
	return math.Log((1 - sick) / (1 - base))
}

// slowShift is the shift of the logarithm of latency that the test looks for.
var slowShift = math.Log(2.2)

// maxSlowRatio bounds what one slow answer adds to the sum.
const maxSlowRatio = 3

// slowRatio returns the log-likelihood ratio of one deviation of the logarithm
// of latency, of the given standard deviation, between no shift and slowShift.
func slowRatio(deviation, sigma float64) float64 {
	ratio := slowShift / (sigma * sigma) * (deviation - slowShift/2)
	return math.Max(-maxSlowRatio, math.Min(maxSlowRatio, ratio))
}
