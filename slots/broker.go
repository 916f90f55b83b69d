package slots

import (
	"sync"
	"time"

	"dandeliondoor/choose"
	"dandeliondoor/feed"
	"dandeliondoor/rank"
)

// Broker holds the pools that this daemon decides for.
type Broker struct {
	limits choose.RetryLimits
	seed   uint64

	mutex sync.Mutex
	view  *feed.View
	pools map[PoolKey]*choose.Pool
}

// NewBroker returns a broker without pools; limits bound the second sends of a
// service.
func NewBroker(limits choose.RetryLimits, seed uint64) *Broker {
	return &Broker{limits: limits, seed: seed, view: &feed.View{}, pools: make(map[PoolKey]*choose.Pool)}
}

// SetLimits replaces the limits of second sends.
func (b *Broker) SetLimits(limits choose.RetryLimits) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limits = limits
	for key, pool := range b.pools {
		pool.SetLimits(b.limitsOf(key))
	}
}

// SetView takes a new view of the servers. Pools of services that are divided
// otherwise now are dropped.
func (b *Broker) SetView(now time.Time, view *feed.View) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.view = view
	for key, pool := range b.pools {
		servers := view.Services[key.Service]
		if key.Parts != PartsOf(len(servers)) {
			delete(b.pools, key)
			continue
		}
		pool.SetServers(now, key.servers(servers))
	}
}

// Knows reports whether any server of a service is known here.
func (b *Broker) Knows(service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.view.Services[service]) > 0
}

// Ask decides on an attempt.
func (b *Broker) Ask(now time.Time, request AskRequest) choose.Decision {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	pool, known := b.pools[request.Pool]
	if !known {
		pool = b.newPool(now, request.Pool)
		b.pools[request.Pool] = pool
	}
	return pool.Choose(now, request.Ask)
}

// Release ends an attempt; one of a pool that is not there is of no use.
func (b *Broker) Release(now time.Time, request ReleaseRequest) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if pool, known := b.pools[request.Pool]; known {
		pool.Release(now, request.Release)
	}
}

func (b *Broker) newPool(now time.Time, key PoolKey) *choose.Pool {
	pool := choose.NewPool(now, b.seed^rank.Score(key.rankKey(), receiverName), b.limitsOf(key))
	pool.SetServers(now, key.servers(b.view.Services[key.Service]))
	return pool
}

// limitsOf returns the limits of one part, which has its share of the slack.
func (b *Broker) limitsOf(key PoolKey) choose.RetryLimits {
	limits := b.limits
	limits.Slack /= float64(max(key.Parts, 1))
	return limits
}
