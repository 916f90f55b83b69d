package health

import (
	"math"
	"time"
)

// alarmThreshold is the sum of log-likelihood ratios at which there is enough
// evidence to eject an upstream for a partial failure.
const alarmThreshold = 26

// maxEvidenceSum caps the evidence, so that the sum falls back as fast after a
// long fault as after a short one.
const maxEvidenceSum = 2 * alarmThreshold

// slownessThreshold is the alarm threshold for slowness. It lies above what two
// consecutive pauses of a healthy upstream can add.
const slownessThreshold = 30

// totalFailureThreshold is the alarm threshold for an upstream that fails nearly
// all requests. It lies above what two consecutive short bursts of failures can
// add.
const totalFailureThreshold = 34

// minCorroboratedShare is the part of alarmThreshold that reporters other than
// the one that contributed most have to add.
const minCorroboratedShare = 0.25

// The limit on the evidence of slowness that one time window adds.
const (
	evidenceWindow       = 200 * time.Millisecond
	maxEvidencePerWindow = 6
)

// maxReporters limits the reporters tracked per sum.
const maxReporters = 16

// cusum is a cumulative sum (CUSUM) change detector: a sum of log-likelihood
// ratios that never falls below zero, with the contribution of each reporter.
type cusum struct {
	sum            float64
	reporters      []contribution
	windowStart    time.Time
	windowEvidence float64
}

type contribution struct {
	reporter string
	amount   float64
}

// add adds a ratio and discards all contributions when the sum returns to zero.
func (c *cusum) add(ratio float64, reporter string) {
	c.sum = math.Min(c.sum+ratio, maxEvidenceSum)
	if c.sum <= 0 {
		c.reset()
		return
	}
	if ratio > 0 {
		c.addContribution(reporter, ratio)
	}
}

// addLimited adds a ratio within the limit per time window: responses delayed by
// the same pause are one event, not independent evidence.
func (c *cusum) addLimited(now time.Time, ratio float64, reporter string) {
	if now.Sub(c.windowStart) >= evidenceWindow {
		c.windowStart, c.windowEvidence = now, 0
	}
	if ratio > 0 {
		ratio = math.Min(ratio, maxEvidencePerWindow-c.windowEvidence)
		c.windowEvidence += ratio
	}
	c.add(ratio, reporter)
}

func (c *cusum) reset() {
	c.sum = 0
	c.reporters = c.reporters[:0]
}

func (c *cusum) addContribution(reporter string, ratio float64) {
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

// topReporter returns the reporter that contributed most and whether the other
// reporters together contributed enough to corroborate it.
func (c *cusum) topReporter() (string, bool) {
	var top contribution
	total := 0.0
	for _, candidate := range c.reporters {
		total += candidate.amount
		if candidate.amount > top.amount {
			top = candidate
		}
	}
	return top.reporter, total-top.amount >= minCorroboratedShare*alarmThreshold
}

// failureRatio returns the log-likelihood ratio of one outcome for the failure
// rate unhealthy against the failure rate base.
func failureRatio(failed bool, base, unhealthy float64) float64 {
	if failed {
		return math.Log(unhealthy / base)
	}
	return math.Log((1 - unhealthy) / (1 - base))
}

// slownessShift is the increase of the log latency that the test is tuned to
// detect.
var slownessShift = math.Log(2.2)

// maxSlownessRatio limits how far one response moves the sum.
const maxSlownessRatio = 3

// slownessRatio returns the log-likelihood ratio of one deviation of the log
// latency for a shift of slownessShift against no shift. Sigma is the standard
// deviation of the log latency.
func slownessRatio(deviation, sigma float64) float64 {
	ratio := slownessShift / (sigma * sigma) * (deviation - slownessShift/2)
	return math.Max(-maxSlownessRatio, math.Min(maxSlownessRatio, ratio))
}
