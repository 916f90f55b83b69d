package slots

import (
	"slices"
	"sync"
	"time"

	"dandeliondoor/choose"
	"dandeliondoor/crash"
	"dandeliondoor/credit"
	"dandeliondoor/feed"
	"dandeliondoor/rank"
	"dandeliondoor/reach"
)

// Broker holds the pools from which this daemon assigns servers.
type Broker struct {
	limits   choose.RetryLimits
	seed     uint64
	fallback bool
	self     string
	crashes  *Crashes
	admitter credit.Admitter
	costs    *Costs

	mutex   sync.Mutex
	view    *feed.View
	pools   map[PoolKey]*choose.Pool
	retired []retiredPool
	ranked  *reach.Cache[PoolKey]
	lines   map[PoolKey]*line
	metrics *QueueMetrics

	presences presences

	retriesAt time.Time
}

// retiredPool is a pool of a service whose number of parts has changed. Its attempts
// are still released, and the pools of the new parts take over what it knows.
type retiredPool struct {
	key  PoolKey
	pool *choose.Pool
	at   time.Time
}

// retiredPeriod is how long a pool is kept after the number of parts has changed.
const retiredPeriod = 30 * time.Second

// BrokerOption configures a Broker.
type BrokerOption func(*Broker)

// WithCrashes makes the broker share the counts of requests that crash servers with the
// other brokers of the daemon.
func WithCrashes(crashes *Crashes) BrokerOption { return func(b *Broker) { b.crashes = crashes } }

// WithAdmitter makes the first attempt of a request of a limited account take a token.
func WithAdmitter(admitter credit.Admitter) BrokerOption {
	return func(b *Broker) { b.admitter = admitter }
}

// WithSelf tells the broker the name of its daemon. If that is not a preferred broker of a
// part but takes the place of a lost one, others may do the same in another partition of
// the network, so that the broker's retry slack is that of a fallback.
func WithSelf(name string) BrokerOption { return func(b *Broker) { b.self = name } }

// NewBroker returns a broker without pools; limits bound the retries of each
// service.
func NewBroker(limits choose.RetryLimits, seed uint64, options ...BrokerOption) *Broker {
	b := &Broker{
		limits: limits, seed: seed, crashes: NewCrashes(), view: &feed.View{}, pools: make(map[PoolKey]*choose.Pool),
		ranked: reach.NewCache(PoolKey.rankingKey),
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// NewFallback returns a broker for a daemon that reaches no other broker. Its retry
// slack is divided by the number of daemons, since all of them may be in this state
// at once.
func NewFallback(limits choose.RetryLimits, seed uint64, options ...BrokerOption) *Broker {
	b := NewBroker(limits, seed, options...)
	b.fallback = true
	return b
}

// SetLimits replaces the retry limits.
func (b *Broker) SetLimits(limits choose.RetryLimits) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limits = limits
	for key, pool := range b.pools {
		pool.SetLimits(b.poolLimits(key))
	}
}

// SetView replaces the view of the servers. It retires the pools of services whose
// number of parts has changed.
func (b *Broker) SetView(now time.Time, view *feed.View) {
	if !b.fallback {
		b.crashes.SetView(now, view)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.view = view
	for key, pool := range b.pools {
		servers := view.Services[key.Service]
		if key.Parts != view.PartCount(key.Service) {
			b.retired = append(b.retired, retiredPool{key: key, pool: pool, at: now})
			delete(b.pools, key)
			b.closeLine(key)
			continue
		}
		pool.SetServers(now, key.servers(servers))
		pool.SetLimits(b.poolLimits(key))
		b.dispatch(now, key, pool)
	}
	b.retired = slices.DeleteFunc(b.retired, func(r retiredPool) bool { return now.Sub(r.at) > retiredPeriod })
}

// HasServers reports whether the view has any server of a service.
func (b *Broker) HasServers(service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.view.Services[service]) > 0
}

// Ask selects a server for an attempt that cannot wait. It creates the pool if needed.
func (b *Broker) Ask(now time.Time, request AskRequest) choose.Decision {
	if b.Queues() {
		request.Wait = false
		return b.Enqueue(now, request, nil, nil)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.assign(now, b.pool(now, request.Pool), request.Ask)
}

// pool returns a pool, which it creates if needed.
func (b *Broker) pool(now time.Time, key PoolKey) *choose.Pool {
	pool, known := b.pools[key]
	if !known {
		pool = b.newPool(now, key)
		b.pools[key] = pool
	}
	return pool
}

// assign selects a server for an attempt that may run now.
func (b *Broker) assign(now time.Time, pool *choose.Pool, ask choose.Ask) choose.Decision {
	inFlight := func(fingerprint crash.Fingerprint) int { return pool.InFlight(now, fingerprint) }
	if wait, admitted := b.crashes.Admit(now, ask.Identity, inFlight); !admitted {
		return choose.Refused{Reason: choose.ReasonCrashes, RetryAfter: wait}
	}
	taken, refused := b.takeCredit(now, ask)
	if refused != nil {
		b.crashes.Withdraw(now, ask.Identity)
		return *refused
	}
	decision := pool.Choose(now, ask)
	if _, granted := decision.(choose.Granted); !granted {
		b.crashes.Withdraw(now, ask.Identity)
		if taken {
			b.admitter.Return(now, ask.Account)
		}
	}
	return decision
}

// takeCredit takes a token for the first attempt of a request of a limited account. It
// reports whether it took one, and returns a refusal if there is none.
func (b *Broker) takeCredit(now time.Time, ask choose.Ask) (taken bool, refused *choose.Refused) {
	if b.admitter == nil || ask.Account == "" || ask.Credited || b.view.Table == nil {
		return false, nil
	}
	account := b.view.Table.Accounts.Named(ask.Account)
	if account == nil || !account.Limited() {
		return false, nil
	}
	switch verdict := b.admitter.Take(now, account).(type) {
	case credit.Pending:
		return false, &choose.Refused{Reason: choose.ReasonPending, RetryAfter: verdict.Wait}
	case credit.Exhausted:
		return false, &choose.Refused{Reason: choose.ReasonQuota, RetryAfter: verdict.RetryAfter}
	default:
		return true, nil
	}
}

// ReturnCredit gives back the token of a request that has not run. One that was taken too
// long ago must not be used again.
func (b *Broker) ReturnCredit(now time.Time, returned CreditReturn) {
	if b.admitter != nil && returned.Age <= credit.ReturnPeriod {
		b.admitter.Return(now, returned.Account)
	}
}

// Release ends an attempt.
func (b *Broker) Release(now time.Time, request ReleaseRequest) {
	b.crashes.Released(now, request.Pool.Service, request.Release)
	b.releaseServer(now, request)
}

// releaseServer ends an attempt in its pool. It ignores attempts of pools that don't
// exist.
func (b *Broker) releaseServer(now time.Time, request ReleaseRequest) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if pool, known := b.pools[request.Pool]; known {
		pool.Release(now, request.Release)
		b.dispatch(now, request.Pool, pool)
		return
	}
	for _, retired := range b.retired {
		if retired.key == request.Pool {
			retired.pool.Release(now, request.Release)
		}
	}
}

func (b *Broker) newPool(now time.Time, key PoolKey) *choose.Pool {
	pool := choose.NewPool(now, b.seed^rank.Score(key.rankingKey(), receiverName), b.poolLimits(key), b.poolOptions()...)
	for _, retired := range b.retired {
		if retired.key.Service == key.Service {
			pool.Adopt(now, retired.pool, min(float64(retired.key.Parts)/float64(key.Parts), 1))
		}
	}
	if b.Queues() {
		pool.LimitLoad()
	}
	pool.SetServers(now, key.servers(b.view.Services[key.Service]))
	return pool
}

// poolLimits returns the retry limits of one part. The slack is divided equally
// among the parts of a service, and that of fallbacks and of substitutes among the daemons.
func (b *Broker) poolLimits(key PoolKey) choose.RetryLimits {
	limits := b.limits
	limits.Slack /= float64(max(key.Parts, 1))
	if b.fallback || b.isSubstitute(key) {
		limits.Slack /= float64(max(len(b.view.Daemons), 1))
	}
	if b.Queues() {
		limits.Slack *= b.slackFactor(key)
	}
	return limits
}

// slackFactor returns what each broker of a part gets where asks wait, as a multiple of the
// slack of the first one, which is 0.3 of the service's. The first two may have all of it, as
// before. The third and fourth, and the sums of those of all substitutes and of all fallbacks,
// are a third of it, so that all brokers of a part together have 1.
func (b *Broker) slackFactor(key PoolKey) float64 {
	const fullBrokers, otherFactor = 2, 1.0 / 3
	rank := 0
	if b.self != "" {
		rank = b.ranked.RankOf(key, b.view.Daemons, b.self)
	}
	if b.fallback || rank >= fullBrokers {
		return otherFactor
	}
	return 1
}

// isSubstitute reports whether this daemon is not one of the preferred brokers of a part.
func (b *Broker) isSubstitute(key PoolKey) bool {
	return b.self != "" && b.ranked.RankOf(key, b.view.Daemons, b.self) >= reach.Preferred
}
