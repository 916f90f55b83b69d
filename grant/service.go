package grant

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"dandeliondoor/broker"
	"dandeliondoor/kernel"
	"dandeliondoor/member"
	"dandeliondoor/rank"
	"dandeliondoor/route"
	"dandeliondoor/wire"
)

// Name is the name under which other services find the broker.
const Name = "broker"

// The times of the brokered pools.
const (
	tickInterval     = 20 * time.Millisecond
	poolIdlePeriod   = 2 * time.Minute
	busyHintInterval = 50 * time.Millisecond
	calmHintInterval = 400 * time.Millisecond
	siblingTimeout   = 200 * time.Millisecond
	maxSiblingCalls  = 64
)

// Tables gives the configuration in force.
type Tables interface {
	Table() *route.Table
}

// Service runs the pools that entries ask this daemon for.
type Service struct {
	members *member.Service
	tables  Tables
	peers   *wire.Peers
	log     *logrus.Entry
	metrics *metrics
	seed    uint64

	mutex    sync.Mutex
	runners  map[string]*runner
	draining bool
	gone     []goneSession
	stale    chan struct{}
	siblings chan siblingCall
}

// siblingCall is a message to the brokers of the other pools of a service.
type siblingCall struct {
	key  string
	send func(ctx context.Context, peer member.Daemon, sibling string)
}

var (
	_ kernel.Service = &Service{}
	_ kernel.Drainer = &Service{}
	_ kernel.Dumper  = &Service{}
)

// New returns a service that brokers no pool yet.
func New(
	members *member.Service, tables Tables, peers *wire.Peers, registry prometheus.Registerer, seed uint64, log *logrus.Entry,
) *Service {
	return &Service{
		members:  members,
		tables:   tables,
		peers:    peers,
		log:      log,
		metrics:  newMetrics(registry),
		seed:     seed,
		runners:  make(map[string]*runner),
		stale:    make(chan struct{}, 1),
		siblings: make(chan siblingCall, maxSiblingCalls),
	}
}

// Name returns Name.
func (s *Service) Name() string { return Name }

// RequestReconfigure says that the configuration or the list of VMs changed.
func (s *Service) RequestReconfigure() {
	select {
	case s.stale <- struct{}{}:
	default:
	}
}

// Start drives the pools until the context ends.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) (<-chan error, error) {
	talk := kernel.Run(ctx, s.talk)
	return kernel.Run(ctx, func(ctx context.Context) error {
		s.run(ctx)
		return <-talk
	}), nil
}

func (s *Service) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = s.Drain(ctx)
			return
		case <-s.stale:
			s.configureAll(time.Now())
		case now := <-ticker.C:
			s.tickAll(now)
		}
	}
}

// Drain hands the pools over: asks are sent to the next broker, while grants
// that are in use may still be released here.
func (s *Service) Drain(ctx context.Context) error {
	s.mutex.Lock()
	s.draining = true
	s.mutex.Unlock()
	for _, r := range s.allRunners() {
		r.end(time.Now(), func(holds []broker.Hold) { s.hand(ctx, r.key, holds) })
	}
	return nil
}

func (s *Service) tickAll(now time.Time) {
	s.freeGone(now)
	for _, r := range s.allRunners() {
		if r.idle(now.Add(-poolIdlePeriod)) {
			s.forget(r.key)
			continue
		}
		r.tick(now)
		if hint, due := r.hint(now); due {
			s.sendHint(r.key, hint)
		}
	}
}

func (s *Service) forget(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.runners, key)
}

func (s *Service) allRunners() []*runner {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := make([]*runner, 0, len(s.runners))
	for _, r := range s.runners {
		all = append(all, r)
	}
	return all
}

func (s *Service) find(key string) (*runner, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found, known := s.runners[key]
	return found, known
}

// runnerFor returns the runner of a declared pool and creates it when this
// daemon is asked for it the first time.
func (s *Service) runnerFor(now time.Time, key string) (*runner, bool) {
	if found, known := s.find(key); known {
		return found, true
	}
	owner, declared := s.tables.Table().Pool(key)
	if !declared {
		return nil, false
	}
	created := &runner{
		key:     key,
		log:     s.log,
		metrics: s.metrics,
		share:   s.sendShared,
		pool:    broker.NewPool(now, key, s.seed^rank.Score(key, Name)),
		waiting: make(map[broker.GrantID]chan AskReply),
		usedAt:  now,
	}
	s.configure(now, created, owner)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if found, known := s.runners[key]; known {
		return found, true
	}
	created.ended = s.draining
	s.runners[key] = created
	s.log.WithField("pool", key).Debug("brokering a pool")
	return created, true
}

func (s *Service) configureAll(now time.Time) {
	table := s.tables.Table()
	for _, r := range s.allRunners() {
		owner, declared := table.Pool(r.key)
		if !declared {
			r.end(now, func([]broker.Hold) {})
			s.forget(r.key)
			continue
		}
		s.configure(now, r, owner)
	}
}

func (s *Service) configure(now time.Time, r *runner, owner route.PoolOwner) {
	configuration := broker.Configuration{
		Pool:         owner.Pool,
		FloorPercent: owner.Service.FloorPercent,
		Entries:      s.members.Count(),
	}
	r.do(func(pool *broker.Pool) []broker.Action {
		actions := pool.Configure(now, configuration)
		for _, upstream := range owner.Pool.Upstreams {
			leaving := s.members.UpstreamLeaving(upstream.Address)
			actions = append(actions, pool.SetLeaving(now, upstream.Name, leaving)...)
		}
		return actions
	})
}

// limitOf gives a pool its part of an account's limit, by its part of the
// service's slots, rounded up.
func limitOf(table *route.Table, key, name string) int {
	account, declared := table.Account(name)
	owner, known := table.Pool(key)
	if !declared || !known || account.MaxInFlight <= 0 {
		return 0
	}
	total := 0
	for _, pool := range owner.Service.Pools {
		total += pool.Slots()
	}
	return (account.MaxInFlight*owner.Pool.Slots() + total - 1) / total
}

// State is the dump of the broker.
type State struct {
	Draining bool               `yaml:"draining"`
	Pools    []broker.PoolState `yaml:"pools"`
}

// Dump returns the state of each brokered pool.
func (s *Service) Dump(now time.Time) any {
	state := State{Pools: []broker.PoolState{}}
	s.mutex.Lock()
	state.Draining = s.draining
	s.mutex.Unlock()
	for _, r := range s.allRunners() {
		state.Pools = append(state.Pools, r.dump(now))
	}
	sortPools(state.Pools)
	return state
}
