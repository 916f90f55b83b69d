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

// Name is the name of the broker service.
const Name = "broker"

// Intervals and limits of the brokered pools.
const (
	tickInterval       = 20 * time.Millisecond
	poolIdleTimeout    = 2 * time.Minute
	busyHintInterval   = 50 * time.Millisecond
	normalHintInterval = 400 * time.Millisecond
	siblingTimeout     = 200 * time.Millisecond
	siblingQueueSize   = 64
)

// TableSource provides the routing table of the current configuration.
type TableSource interface {
	Table() *route.Table
}

// Service brokers the pools for which entries ask this daemon for slots.
type Service struct {
	members *member.Service
	tables  TableSource
	peers   *wire.Peers
	log     *logrus.Entry
	metrics *metrics
	seed    uint64

	mutex         sync.Mutex
	runners       map[string]*poolRunner
	draining      bool
	endedSessions []endedSession
	reconfigure   chan struct{}
	siblingCalls  chan siblingCall
}

// siblingCall is a message from the pool with the given key to the brokers of the
// sibling pools, which are the other pools of its service.
type siblingCall struct {
	key  string
	send func(ctx context.Context, peer member.Daemon, siblingKey string)
}

var (
	_ kernel.Service = &Service{}
	_ kernel.Drainer = &Service{}
	_ kernel.Dumper  = &Service{}
)

// New returns a service without pools; each pool is created on its first use.
func New(
	members *member.Service, tables TableSource, peers *wire.Peers, registry prometheus.Registerer, seed uint64,
	log *logrus.Entry,
) *Service {
	return &Service{
		members:      members,
		tables:       tables,
		peers:        peers,
		log:          log,
		metrics:      newMetrics(registry),
		seed:         seed,
		runners:      make(map[string]*poolRunner),
		reconfigure:  make(chan struct{}, 1),
		siblingCalls: make(chan siblingCall, siblingQueueSize),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// RequestReconfigure schedules an update of all pools after a change of the
// configuration or of the list of VMs. It does not block.
func (s *Service) RequestReconfigure() {
	select {
	case s.reconfigure <- struct{}{}:
	default:
	}
}

// Start runs the pools until the context ends.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) (<-chan error, error) {
	siblingCallsDone := kernel.Run(ctx, s.runSiblingCalls)
	return kernel.Run(ctx, func(ctx context.Context) error {
		s.run(ctx)
		return <-siblingCallsDone
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
		case <-s.reconfigure:
			s.configureAll(time.Now())
		case now := <-ticker.C:
			s.tickAll(now)
		}
	}
}

// Drain hands the pools over to their next brokers. Asks are answered with Leaving
// from then on; grants in use can still be released here.
func (s *Service) Drain(ctx context.Context) error {
	s.mutex.Lock()
	s.draining = true
	s.mutex.Unlock()
	for _, r := range s.allRunners() {
		r.stop(time.Now(), func(holds []broker.Hold) { s.sendHandover(ctx, r.key, holds) })
	}
	return nil
}

func (s *Service) tickAll(now time.Time) {
	s.freeEndedSessions(now)
	for _, r := range s.allRunners() {
		if r.idleSince(now.Add(-poolIdleTimeout)) {
			s.removeRunner(r.key)
			continue
		}
		r.tick(now)
		if hint, due := r.dueHint(now); due {
			s.sendHint(r.key, hint)
		}
	}
}

func (s *Service) removeRunner(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.runners, key)
}

func (s *Service) allRunners() []*poolRunner {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := make([]*poolRunner, 0, len(s.runners))
	for _, r := range s.runners {
		all = append(all, r)
	}
	return all
}

func (s *Service) findRunner(key string) (*poolRunner, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found, known := s.runners[key]
	return found, known
}

// ensureRunner returns the runner of a pool and creates it on first use. It returns
// false if the configuration does not declare the pool.
func (s *Service) ensureRunner(now time.Time, key string) (*poolRunner, bool) {
	if found, known := s.findRunner(key); known {
		return found, true
	}
	owner, declared := s.tables.Table().Pool(key)
	if !declared {
		return nil, false
	}
	created := &poolRunner{
		key:             key,
		log:             s.log,
		metrics:         s.metrics,
		sendFingerprint: s.sendFingerprint,
		pool:            broker.NewPool(now, key, s.seed^rank.Score(key, Name)),
		pending:         make(map[broker.GrantID]chan AskReply),
		lastUsed:        now,
	}
	s.configure(now, created, owner)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if found, known := s.runners[key]; known {
		return found, true
	}
	created.stopped = s.draining
	s.runners[key] = created
	s.log.WithField("pool", key).Debug("started brokering pool")
	return created, true
}

func (s *Service) configureAll(now time.Time) {
	table := s.tables.Table()
	for _, r := range s.allRunners() {
		owner, declared := table.Pool(r.key)
		if !declared {
			r.stop(now, func([]broker.Hold) {})
			s.removeRunner(r.key)
			continue
		}
		s.configure(now, r, owner)
	}
}

func (s *Service) configure(now time.Time, r *poolRunner, owner route.PoolOwner) {
	configuration := broker.Configuration{
		Pool:         owner.Pool,
		FloorPercent: owner.Service.FloorPercent,
		Entries:      s.members.Count(),
	}
	r.update(func(pool *broker.Pool) []broker.Action {
		actions := pool.Configure(now, configuration)
		for _, upstream := range owner.Pool.Upstreams {
			leaving := s.members.UpstreamLeaving(upstream.Address)
			actions = append(actions, pool.SetLeaving(now, upstream.Name, leaving)...)
		}
		return actions
	})
}

// accountLimit returns a pool's share of an account's limit, in proportion to its
// share of the service's slots and rounded up. It returns 0 for no limit.
func accountLimit(table *route.Table, key, name string) int {
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

// State is the state of the broker as shown by state dumps.
type State struct {
	Draining bool               `yaml:"draining"`
	Pools    []broker.PoolState `yaml:"pools"`
}

// Dump returns the State of the broker.
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
