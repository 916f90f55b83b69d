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
	limits choose.Limits
	seed   uint64

	mutex sync.Mutex
	view  *feed.View
	pools map[string]*choose.Pool
}

// NewBroker returns a broker without pools; limits bound the second sends of a
// service.
func NewBroker(limits choose.Limits, seed uint64) *Broker {
	return &Broker{limits: limits, seed: seed, view: &feed.View{}, pools: make(map[string]*choose.Pool)}
}

// SetLimits replaces the limits of second sends.
func (b *Broker) SetLimits(limits choose.Limits) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limits = limits
	for _, pool := range b.pools {
		pool.SetLimits(limits)
	}
}

// Changed takes a new view of the servers.
func (b *Broker) Changed(now time.Time, view *feed.View) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.view = view
	for service, pool := range b.pools {
		pool.SetServers(now, view.Services[service])
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
	return b.pool(now, request.Service).Choose(now, request.Ask)
}

// Release ends an attempt.
func (b *Broker) Release(now time.Time, request ReleaseRequest) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.pool(now, request.Service).Release(now, request.Release)
}

func (b *Broker) pool(now time.Time, service string) *choose.Pool {
	pool, known := b.pools[service]
	if !known {
		pool = choose.NewPool(now, b.seed^rank.Score(service, receiverName), b.limits)
		pool.SetServers(now, b.view.Services[service])
		b.pools[service] = pool
	}
	return pool
}
