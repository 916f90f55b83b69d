package choose

import (
	"time"
)

// budgetBuckets is the number of buckets that make up the sliding window.
const budgetBuckets = 10

// RetryLimits bounds retries, including hedged requests: a window allows Ratio
// times its requests plus Slack.
type RetryLimits struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// RetryBudget counts requests and retries over a sliding window. The buckets of a window
// and the present one cover between 0.9 and 1 window. One more bucket holds what is up to 1.1
// windows old: with strict its retries count, so that no window has more than the slack
// beyond what requests allowed.
type RetryBudget struct {
	limits      RetryLimits
	buckets     [budgetBuckets + 1]budgetBucket
	current     int
	bucketStart time.Time
	strict      bool
}

type budgetBucket struct {
	requests float64
	retries  float64
	uses     Uses
}

// NewRetryBudget returns a budget with an empty window.
func NewRetryBudget(now time.Time, limits RetryLimits) *RetryBudget {
	return &RetryBudget{limits: limits, bucketStart: now}
}

// RecordRequest counts the first attempt of a request.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.advance(now)
	b.buckets[b.current].requests++
}

// Remaining returns how many retries the window still allows.
func (b *RetryBudget) Remaining(now time.Time) float64 {
	b.advance(now)
	requests, retries := b.counts()
	return b.limits.Ratio*requests + b.limits.Slack - retries
}

// oldest returns the index of the bucket beyond the window.
func (b *RetryBudget) oldest() int { return (b.current + 1) % len(b.buckets) }

// counts returns the requests and retries that count.
func (b *RetryBudget) counts() (requests, retries float64) {
	for i, bucket := range b.buckets {
		if i != b.oldest() {
			requests += bucket.requests
		}
		if i != b.oldest() || b.strict {
			retries += bucket.retries
		}
	}
	return requests, retries
}

// TryTake counts a retry if the window allows one.
func (b *RetryBudget) TryTake(now time.Time) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.buckets[b.current].retries++
	return true
}

// Allowance returns how many retries the window allows in all.
func (b *RetryBudget) Allowance(now time.Time) float64 {
	b.advance(now)
	requests, _ := b.counts()
	return b.limits.Ratio*requests + b.limits.Slack
}

// Uses returns what the retries of the window were used for.
func (b *RetryBudget) Uses(now time.Time) Uses {
	b.advance(now)
	var uses Uses
	for i, bucket := range b.buckets {
		if i == b.oldest() {
			continue
		}
		for use, count := range bucket.uses {
			uses[use] += count
		}
	}
	return uses
}

// record adds to what the retries were used for.
func (b *RetryBudget) record(now time.Time, use Use, count float64) {
	b.advance(now)
	b.buckets[b.current].uses[use] += count
}

// Refund returns a retry that was taken but not sent.
func (b *RetryBudget) Refund(now time.Time) {
	b.advance(now)
	b.buckets[b.current].retries--
}

// Adopt adds a share of what another budget with the same window has counted.
func (b *RetryBudget) Adopt(now time.Time, other *RetryBudget, share float64) {
	b.advance(now)
	other.advance(now)
	requests, retries := other.counts()
	b.buckets[b.current].requests += share * requests
	b.buckets[b.current].retries += share * retries
}

// advance moves the window to the present time and clears expired buckets.
func (b *RetryBudget) advance(now time.Time) {
	bucketLength := b.limits.Window / budgetBuckets
	if bucketLength <= 0 {
		return
	}
	if now.Sub(b.bucketStart) > 2*b.limits.Window {
		b.buckets = [budgetBuckets + 1]budgetBucket{}
		b.bucketStart = now
		return
	}
	for now.Sub(b.bucketStart) >= bucketLength {
		b.bucketStart = b.bucketStart.Add(bucketLength)
		b.current = b.oldest()
		b.buckets[b.current] = budgetBucket{}
	}
}
