package slots

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"dandeliondoor/choose"
	"dandeliondoor/crash"
	"dandeliondoor/feed"
	"dandeliondoor/logs"
	"dandeliondoor/rank"
)

// Broker holds the pools from which this daemon assigns servers.
type Broker struct {
	limits   choose.RetryLimits
	seed     uint64
	fallback bool
	log      *logrus.Entry

	mutex sync.Mutex
	view  *feed.View
	pools map[PoolKey]*choose.Pool
}

// BrokerOption configures a Broker.
type BrokerOption func(*Broker)

// WithLog makes the broker log the requests whose servers ended.
func WithLog(log *logrus.Entry) BrokerOption { return func(b *Broker) { b.log = log } }

// NewBroker returns a broker without pools; limits bound the retries of each
// service.
func NewBroker(limits choose.RetryLimits, seed uint64, options ...BrokerOption) *Broker {
	b := &Broker{
		limits: limits, seed: seed, log: logs.Discard().Part(Name), view: &feed.View{}, pools: make(map[PoolKey]*choose.Pool),
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

// SetView replaces the view of the servers. It drops the pools of services whose
// number of parts has changed.
func (b *Broker) SetView(now time.Time, view *feed.View) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.view = view
	for key, pool := range b.pools {
		servers := view.Services[key.Service]
		if key.Parts != PartCount(len(servers)) {
			delete(b.pools, key)
			continue
		}
		pool.SetServers(now, key.servers(servers))
		pool.SetLimits(b.poolLimits(key))
	}
}

// HasServers reports whether the view has any server of a service.
func (b *Broker) HasServers(service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.view.Services[service]) > 0
}

// Ask selects a server for an attempt. It creates the pool if needed.
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

// Release ends an attempt. It ignores attempts of pools that don't exist, such as
// those that SetView dropped.
func (b *Broker) Release(now time.Time, request ReleaseRequest) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	pool, known := b.pools[request.Pool]
	if !known {
		if request.Release.Outcome == choose.ConnectionLost {
			b.logCrash(request, crash.Observation{Change: crash.ChangeMissed})
		}
		return
	}
	b.logCrash(request, pool.Release(now, request.Release))
}

// logCrash logs a change of the number of servers that a request crashed.
func (b *Broker) logCrash(request ReleaseRequest, observed crash.Observation) {
	if observed.Change == crash.ChangeNone {
		return
	}
	b.log.WithField("fingerprint", observed.Fingerprint.String()).WithField("change", observed.Change).
		WithField("count", observed.Count).WithField("service", request.Pool.Service).WithField("pool_part", request.Pool.Part).
		WithField("server", request.Release.Server).WithField("daemon", request.Release.Daemon).
		WithField("fallback", b.fallback).Info("crash count changed")
}

func (b *Broker) newPool(now time.Time, key PoolKey) *choose.Pool {
	pool := choose.NewPool(now, b.seed^rank.Score(key.rankingKey(), receiverName), b.poolLimits(key))
	pool.SetServers(now, key.servers(b.view.Services[key.Service]))
	return pool
}

// poolLimits returns the retry limits of one part. The slack is divided equally
// among the parts of a service, and that of fallbacks among the daemons.
func (b *Broker) poolLimits(key PoolKey) choose.RetryLimits {
	limits := b.limits
	limits.Slack /= float64(max(key.Parts, 1))
	if b.fallback {
		limits.Slack /= float64(max(len(b.view.Daemons), 1))
	}
	return limits
}
