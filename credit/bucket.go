package credit

import (
	"math"
	"time"

	"dandeliondoor/topo"
)

const (
	// binPeriod and binCount divide the time in which issued tokens may be used. One
	// more bin than the period has is kept, as the newest one is incomplete.
	binPeriod = 25 * time.Millisecond
	binCount  = int(tokenPeriod/binPeriod) + 1
	// maxNeed bounds the tokens of one line of a request.
	maxNeed = 1e6
	// rounding is the error of sums of fractions of a token that is ignored.
	rounding = 1e-6
	// maxWait bounds the time until there will be a token, which may be unknown.
	maxWait = time.Minute
	// scarceShare is the share of its capacity that a bucket keeps for requests that wait.
	// Below it, tokens that are issued in advance could be missing at another broker.
	scarceShare = 0.5
	// claimPeriod is how long a broker that got less than it needs comes before others
	// whose requests have been waiting for less time.
	claimPeriod = 150 * time.Millisecond
)

// bucket holds the tokens of an account for a share of its quota. Issued is the number of
// tokens that brokers may still hold, by the time when they were issued.
//
// First means that it is the one of the account that gets its start tokens.
type bucket struct {
	rate    float64
	burst   float64
	level   float64
	updated time.Time
	issued  [binCount]float64
	newest  int64
	first   bool
	claims  map[string]claim
}

// claim is an unsatisfied need of a broker. Since is when its requests began to wait.
type claim struct {
	need  float64
	since time.Time
	at    time.Time
}

// newBucket returns an empty bucket.
func newBucket(now time.Time, account *topo.Account, first bool) *bucket {
	return &bucket{rate: account.Rate, burst: account.Burst, updated: now, newest: binOf(now), first: first}
}

func binOf(at time.Time) int64 { return at.UnixNano() / int64(binPeriod) }

// capacity returns the number of tokens that the bucket holds with a share.
func (b *bucket) capacity(share float64) float64 { return (b.burst + spareBurst) * share }

// advance fills the bucket for the time since the last call, in which its share was the
// given one.
func (b *bucket) advance(now time.Time, share float64) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.level += b.rate * share * elapsed.Seconds()
		b.updated = now
	}
	bin := binOf(now)
	for i := max(b.newest+1, bin-int64(binCount)+1); i <= bin; i++ {
		b.issued[i%int64(binCount)] = 0
	}
	b.newest = max(b.newest, bin)
	b.cut(share)
}

// cut reduces the bucket to its capacity. Returned tokens would exceed it together with those
// that are issued again for the time in which the latter may be used. So both are limited to
// the capacity and what is filled in that time.
func (b *bucket) cut(share float64) {
	outstanding := 0.0
	for _, amount := range b.issued {
		outstanding += amount
	}
	inUse := b.rate * share * (tokenPeriod + binPeriod).Seconds()
	b.level = max(min(b.level, b.capacity(share), b.capacity(share)+inUse-outstanding), 0)
}

// setLimits replaces the limits of the account.
func (b *bucket) setLimits(account *topo.Account, share float64) {
	b.rate, b.burst = account.Rate, account.Burst
	b.cut(share)
}

// giveBack takes back tokens that were issued at some time and may still be used, and returns
// how many.
func (b *bucket) giveBack(now, issuedAt time.Time, amount, share float64) float64 {
	bin := binOf(issuedAt)
	if age := now.Sub(issuedAt); age < 0 || age >= tokenPeriod || bin <= b.newest-int64(binCount) || bin > b.newest {
		return 0
	}
	index := bin % int64(binCount)
	amount = min(max(amount, 0), b.issued[index])
	b.issued[index] -= amount
	b.level += amount
	b.cut(share)
	return amount
}

// issue issues whole tokens to a broker. Only a bucket too small for one issues fractions.
// Brokers that claimed a token for requests that have been waiting longer come first. It also
// returns the time until there will be a token if it issues less than needed.
func (b *bucket) issue(now time.Time, broker string, line IssueLine, share float64) (float64, time.Duration) {
	need := b.reduceAdvance(line, share)
	delete(b.claims, broker)
	if need == 0 {
		return 0, 0
	}
	since := now.Add(-line.Waiting)
	reserved := b.reserved(now, since)
	free := max(b.level-reserved, 0)
	amount := math.Floor(min(need, free) + rounding)
	if capacity := b.capacity(share); capacity < 1 && b.level >= capacity*(1-rounding) {
		amount = min(need, free)
	}
	amount = min(amount, b.level)
	b.level -= amount
	b.issued[b.newest%int64(binCount)] += amount
	if amount+rounding >= need {
		return amount, 0
	}
	if line.Claim {
		if b.claims == nil {
			b.claims = make(map[string]claim)
		}
		b.claims[broker] = claim{need: 1, since: since, at: now}
	}
	return amount, b.wait(reserved+1-b.level, share)
}

// reduceAdvance returns the need of a line without the tokens in advance for which the bucket
// holds too few.
func (b *bucket) reduceAdvance(line IssueLine, share float64) float64 {
	need := min(max(line.Need, 0), maxNeed)
	asks := min(max(line.Asks, 0), need)
	spare := max(b.level-b.capacity(share)*scarceShare-asks, 0)
	return asks + min(need-asks, math.Floor(spare))
}

// reserved returns the tokens that brokers need whose requests wait since before some time.
func (b *bucket) reserved(now, since time.Time) float64 {
	total := 0.0
	for name, claimed := range b.claims {
		if now.Sub(claimed.at) > claimPeriod {
			delete(b.claims, name)
		} else if claimed.since.Before(since) {
			total += claimed.need
		}
	}
	return total
}

// wait returns the time until the bucket is filled by a number of tokens.
func (b *bucket) wait(missing, share float64) time.Duration {
	filled := b.rate * share
	if filled <= 0 || missing/filled > maxWait.Seconds() {
		return maxWait
	}
	return max(time.Duration(missing/filled*float64(time.Second)), time.Millisecond)
}
