package credit

import (
	"math"
	"strconv"
	"time"

	"dandeliondoor/rank"
)

// Times and limits of the division of quotas.
const (
	// Copies is the number of allocators of each shard. The loss of one costs a third of
	// the rates until its delegations have expired.
	Copies = 3
	// MaxShardAccounts is the number of accounts per shard above which there are more shards.
	MaxShardAccounts = 2000
	// delegationPeriod is how long a delegation counts after the stamp that it carries.
	delegationPeriod = 750 * time.Millisecond
	// renewalInterval is the time between two renewals of a delegation, a third of its
	// period, so that a lost message ends none.
	renewalInterval = 250 * time.Millisecond
	// tokenPeriod is how long tokens may be used after they were requested.
	tokenPeriod = 400 * time.Millisecond
	// requestInterval is the minimum time between two requests of a broker to an allocator.
	requestInterval = 50 * time.Millisecond
	// forecastPeriod is the time whose expected demand a broker requests tokens for. It
	// requests more when the tokens last for less than half of it.
	forecastPeriod = 200 * time.Millisecond
	// listPeriod is how long the largest number of listed daemons is remembered. It is
	// twice the time after which a daemon that nobody reaches is removed from the list.
	listPeriod = 30 * time.Second
	// splitPeriod is how long the largest number of listed daemons is remembered once less than
	// half of them are listed. The others may be cut off from the store, and go on as the
	// majority of their last list. A fleet of which more than half is lost serves only the
	// share of its daemons in each quota for as long.
	splitPeriod = 10 * time.Minute
	// settlePeriod is how long a daemon has to be listed before it delegates, so that the
	// others divide by a number that includes it.
	settlePeriod = 3 * time.Second
	// staleAfter is the age of an allocator's view above which it issues tokens only while
	// most of the listed daemons delegate to it. It is less than the 15 s after which a
	// daemon that nobody reaches is removed from the list.
	staleAfter = 10 * time.Second
	// spareBurst, in requests, is added to each burst, so that the bucket of one of
	// the allocators of an account with a small burst holds a whole token. It is a part of
	// the slack of 20 requests of the limit.
	spareBurst = 4
	// startTokens, times the fraction of the quota, are added to the bucket of one copy with
	// each share that is newly delegated, so that small accounts don't wait for seconds after
	// a fleet or an allocator was restarted. They are added at most once in startInterval.
	startTokens = 2
	// startInterval is the time between two starts of a share, and between the start of a
	// process and the first one of its share. A start takes effect at most delegationPeriod
	// after it was sent, and its tokens are used within tokenPeriod. So a window of 5 s has at
	// most 8 starts, which take 16 of its slack of 20 requests.
	startInterval = 800 * time.Millisecond
	// recallInterval is the time between two messages of a process that has just started to
	// the same daemon that may count delegations of its predecessor.
	recallInterval = 100 * time.Millisecond
	// minKnownShare is the share of the quota that the replies of the allocators must
	// cover before an account counts as exhausted. With less, it may be within its quota.
	minKnownShare = 0.5
)

// LeastTolerance returns the least overage (a share of the quota) and slack (in requests) of a
// window that hold for every account: tokens are filled for longer than the window by the time
// for which they may be used, and the window has starts of all shares.
func LeastTolerance(window time.Duration) (overage, slack float64) {
	used := tokenPeriod + binPeriod
	starts := math.Ceil((window + used + delegationPeriod).Seconds() / startInterval.Seconds())
	return used.Seconds() / window.Seconds(), spareBurst + starts*startTokens
}

// shardCount returns the number of shards for a number of accounts, a power of two.
func shardCount(accounts int) int {
	shards := 1
	for accounts > shards*MaxShardAccounts {
		shards *= 2
	}
	return shards
}

// shardOf returns the shard of an account.
func shardOf(account string, shards int) int {
	return int(rank.Score("credit", account) % uint64(shards))
}

// firstCopy returns the copy whose bucket gets the start tokens of an account. All in one
// are a whole token sooner than a third in each.
func firstCopy(account string) int { return int(rank.Score("credit/first", account) % Copies) }

// Role identifies one copy of one of a number of shards, which has one allocator.
type Role struct {
	Shards int
	Shard  int
	Copy   int
}

// rankingKey returns the key for which daemons are ranked as allocators.
func (r Role) rankingKey() string {
	return "allocator/" + strconv.Itoa(r.Shard) + "/" + strconv.Itoa(r.Copy)
}

// valid reports whether the role exists if there are some number of shards.
func (r Role) valid(shards int) bool {
	return r.Shards == shards && r.Shard >= 0 && r.Shard < shards && r.Copy >= 0 && r.Copy < Copies
}
