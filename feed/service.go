package feed

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"dandeliondoor/kernel"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

// Name is the name under which other services find the feed.
const Name = "feed"

// Poller returns what changed in one part of the store since the last call, as
// platform.Topic does.
type Poller[V any] interface {
	Poll(ctx context.Context, wait time.Duration) (changes []topo.Change[V], complete bool, err error)
	// Relist makes the next poll return all keys.
	Relist()
}

// Registry follows the daemons of the fleet and announces this one.
type Registry interface {
	Poller[topo.Daemon]
	Announce(ctx context.Context, daemon topo.Daemon) error
	Withdraw(ctx context.Context, name string) error
}

// Sources are the parts of the store that are followed.
type Sources struct {
	Configs Poller[*topo.Config]
	Servers Poller[topo.Server]
	Daemons Registry
}

// Settings are the times of the feed. Interval is how often a reader reads the
// servers, StaleAfter the age from which a follower looks for another source.
// First says that the whole fleet starts for the first time. Seeds are daemons
// to follow while no other one is known.
type Settings struct {
	Interval   time.Duration
	StaleAfter time.Duration
	FirstStart bool
	Seeds      []netip.AddrPort
	Seed       uint64
}

// Service keeps the view of one daemon.
type Service struct {
	self        topo.Daemon
	sources     Sources
	peers       *wire.Peers
	settings    Settings
	log         *logrus.Entry
	incarnation uint64
	random      *rand.Rand

	view     atomic.Pointer[View]
	watchers []func(view *View)
	leaving  atomic.Bool

	mutex   sync.Mutex
	state   *state
	lapses  lapses
	changed chan struct{}

	followed followedSource
	avoided  map[string]time.Time

	storeOut  bool
	failedAt  time.Time
	retryAt   time.Time
	retryWait time.Duration
}

// followedSource is the daemon that is followed and what it has given.
type followedSource struct {
	name string
	have FollowRequest
}

var (
	_ kernel.Service = &Service{}
	_ kernel.Drainer = &Service{}
	_ kernel.Dumper  = &Service{}
)

// New returns a feed with an empty view.
func New(self topo.Daemon, sources Sources, peers *wire.Peers, settings Settings, log *logrus.Entry) *Service {
	s := &Service{
		self:     self,
		sources:  sources,
		peers:    peers,
		settings: settings,
		log:      log,
		random:   rand.New(rand.NewPCG(settings.Seed, uint64(time.Now().UnixNano()))),
		state:    newState(),
		changed:  make(chan struct{}),
		avoided:  make(map[string]time.Time),
	}
	s.incarnation = s.random.Uint64() | 1
	s.view.Store(&View{})
	return s
}

// Name returns Name.
func (s *Service) Name() string { return Name }

// View returns what is known now.
func (s *Service) View() *View { return s.view.Load() }

// Self returns this daemon's own record.
func (s *Service) Self() topo.Daemon { return s.self }

// Watch registers a call for each change of the view; it has to come before
// Start.
func (s *Service) Watch(changed func(view *View)) { s.watchers = append(s.watchers, changed) }

// Start keeps the view up to date until the context ends.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) (<-chan error, error) {
	return kernel.Run(ctx, s.run), nil
}

// withdrawTimeout bounds the removal of the record at a planned stop.
const withdrawTimeout = 500 * time.Millisecond

// Drain tells followers to follow another daemon and removes this daemon's
// record.
func (s *Service) Drain(ctx context.Context) error {
	s.leaving.Store(true)
	s.wake()
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	if err := s.sources.Daemons.Withdraw(ctx, s.self.Name); err != nil {
		s.log.WithError(err).Warn("record of this daemon could not be removed")
	}
	return nil
}

// renewedParts is how many times StaleAfter a view is old when it counts as
// renewed; while the store can be read no view grows so old.
const renewedParts = 2

// apply changes the state and publishes a new view when it differs.
func (s *Service) apply(work func(state *state) bool) {
	s.mutex.Lock()
	before := s.state.config
	known := s.state.freshAt
	changed := work(s.state)
	if s.state.freshAt.Sub(known) > renewedParts*s.settings.StaleAfter {
		s.state.renewedAt = time.Now()
	}
	var view *View
	if changed {
		view = s.state.view(s.view.Load())
	} else {
		copied := *s.view.Load()
		copied.FreshAt, copied.RenewedAt = s.state.freshAt, s.state.renewedAt
		view = &copied
	}
	s.view.Store(view)
	config, source := s.state.config, s.followed.name
	s.mutex.Unlock()
	if config != before {
		s.log.WithField("version", config.Version).WithField("routes", len(config.Routes)).
			WithField("source", source).Info("configuration in force")
	}
	if changed {
		s.wake()
		for _, watch := range s.watchers {
			watch(view)
		}
	}
}

// wake ends the wait of the followers.
func (s *Service) wake() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// State is the dump of the feed.
type State struct {
	Source  string        `yaml:"source"`
	Age     time.Duration `yaml:"age"`
	Version uint64        `yaml:"version"`
	Servers int           `yaml:"servers"`
	Daemons int           `yaml:"daemons"`
}

// Dump returns where the view comes from and what it holds.
func (s *Service) Dump(now time.Time) any {
	view := s.View()
	state := State{Age: now.Sub(view.FreshAt), Servers: len(view.Servers), Daemons: len(view.Daemons)}
	if view.Table != nil {
		state.Version = view.Table.Config.Version
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state.Source = s.followed.name
	return state
}

var errStale = errors.New("what the daemon knows is old, or came from here")
