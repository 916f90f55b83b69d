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

	"dandeliondoor/crash"
	"dandeliondoor/kernel"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

// Name identifies the service in the kernel and in log lines.
const Name = "feed"

// Poller reads the changes of one part of the store since the last call, as
// platform.Topic does. Complete reports that changes lists all keys, not only
// the changed ones. The store may hold a call for up to wait until there is a
// change.
type Poller[V any] interface {
	Poll(ctx context.Context, wait time.Duration) (changes []topo.Change[V], complete bool, err error)
	// Relist makes the next poll return all keys.
	Relist()
	// Era returns the era of the store as of the last poll; 0 means that it has none. It
	// must not be called concurrently with Poll.
	Era() uint64
}

// Registry lists the daemons of the fleet and registers this one.
type Registry interface {
	Poller[topo.Daemon]
	Announce(ctx context.Context, daemon topo.Daemon) error
	// ObserveEra records the era of the store that another daemon has got from it.
	ObserveEra(era uint64)
	// AnnouncedEra returns the era of the store in which Announce last wrote, or 0.
	AnnouncedEra() uint64
	Withdraw(ctx context.Context, name string) error
	// Position returns the position in the list up to which Poll has returned changes.
	// It must not be called concurrently with Poll.
	Position() Position
	// Remove removes the records of other daemons if the list has not changed since a
	// position.
	Remove(ctx context.Context, names []string, position Position) error
}

// CrashLog lists the requests that have ended several servers, by fingerprint.
type CrashLog interface {
	Poller[crash.Record]
	// Update replaces records; an empty one removes that of its fingerprint.
	Update(ctx context.Context, records map[crash.Fingerprint]crash.Record) error
}

// Sources contains the parts of the store that the feed reads.
type Sources struct {
	Configs Poller[*topo.Config]
	Servers Poller[topo.Server]
	Daemons Registry
	Crashes CrashLog
}

// Settings contains the settings of the feed. Interval is the time between two
// reads of the servers by a reader, and StaleAfter the age of the view above
// which a follower looks for another source. GoneAfter is how long a daemon has to be out
// of reach before its record is removed; 0 means a default. FirstStart is set when the whole
// fleet starts for the first time. Seeds are the addresses of daemons to follow
// while no others are known. Seed seeds the random jitter.
type Settings struct {
	Interval   time.Duration
	StaleAfter time.Duration
	GoneAfter  time.Duration
	FirstStart bool
	Seeds      []netip.AddrPort
	Seed       uint64
}

// Service maintains the view of one daemon.
type Service struct {
	self        topo.Daemon
	sources     Sources
	peers       *wire.Peers
	settings    Settings
	log         *logrus.Entry
	incarnation uint64
	random      *rand.Rand

	view     atomic.Pointer[View]
	listedAt atomic.Pointer[Position]
	watchers []func(view *View)
	draining atomic.Bool

	// mutex guards random and the fields from state to followed, except watching. Only
	// run's goroutine writes followed, and only it uses the fields after followed.
	mutex     sync.Mutex
	state     *state
	removals  removalHold
	confirmed uint64
	snapshots snapshotCache
	gone      map[topo.Daemon]time.Time
	// configWantedAt is when a follower was last asked for its configuration.
	configWantedAt time.Time
	changed        chan struct{}

	// watching serializes the calls of watchers, each with the latest view.
	watching sync.Mutex

	followed followedSource
	avoided  map[string]time.Time

	// ownEra is the era of the store in which this daemon's record was listed at its start.
	// Only the goroutine of announce uses it.
	ownEra uint64

	// hasFollowed is set when data of another daemon was applied since the daemons and
	// crashes were last listed from the store.
	hasFollowed bool
	// removalAt is the earliest time of the next removal of records. Only the goroutine of
	// removeGone uses it.
	removalAt time.Time

	introduced    []topo.Daemon
	joined        bool
	patientUntil  time.Time
	storeDown     bool
	storeFailedAt time.Time
	retryAt       time.Time
	retryWait     time.Duration
}

// followedSource is the daemon that is followed, or this daemon itself while it
// reads the store. Position describes the data that the next request reports.
type followedSource struct {
	name     string
	position FollowRequest
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
		gone:     make(map[topo.Daemon]time.Time),
	}
	s.incarnation = s.random.Uint64() | 1
	if !settings.FirstStart {
		s.state.rememberedSince = time.Now()
	}
	s.view.Store(&View{RememberedSince: s.state.rememberedSince})
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// View returns the current view.
func (s *Service) View() *View { return s.view.Load() }

// Self returns this daemon's own record.
func (s *Service) Self() topo.Daemon { return s.self }

// Watch registers a callback for each change of the view. It must be called
// before Start.
func (s *Service) Watch(changed func(view *View)) { s.watchers = append(s.watchers, changed) }

// Start keeps the view up to date until the context ends.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) (<-chan error, error) {
	return kernel.Run(ctx, s.run), nil
}

// withdrawTimeout is the timeout for removing this daemon's record when it
// drains.
const withdrawTimeout = 500 * time.Millisecond

// Drain makes the followers switch to another source and removes this daemon's
// record from the store.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.notifyFollowers()
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	if err := s.sources.Daemons.Withdraw(ctx, s.self.Name); err != nil {
		s.log.WithError(err).Warn("removing the record of this daemon failed")
	}
	return nil
}

// renewedFactor is the age, in multiples of StaleAfter, above which an update of
// the view sets RenewedAt. Views don't get that old while the store can be read.
const renewedFactor = 2

// confirmationDivisor is the divisor of Settings.Interval that gives by how much a
// view must be fresher to count as confirmed. The time since the confirmation is
// passed on with an error of the latency.
const confirmationDivisor = 4

// update modifies the state with change, which reports whether the contents of
// the view differ, and publishes a new view. If they differ, it also notifies
// the watchers. The followers are notified of a confirmation, too.
func (s *Service) update(change func(state *state) bool) {
	s.mutex.Lock()
	before := s.state.config
	confirmedAt := s.state.freshAt
	era := s.state.era()
	changed := change(s.state)
	if next := s.state.era(); next != era {
		s.sources.Daemons.ObserveEra(next)
		changed = true
	}
	if s.state.freshAt.Sub(confirmedAt) > renewedFactor*s.settings.StaleAfter {
		s.state.renewedAt = time.Now()
	}
	confirmed := s.state.freshAt.Sub(confirmedAt) > s.settings.Interval/confirmationDivisor
	if confirmed {
		s.confirmed++
	}
	if changed {
		s.view.Store(s.state.snapshot(s.view.Load()))
	} else {
		copied := *s.view.Load()
		copied.FreshAt, copied.RenewedAt, copied.ConfigFreshAt = s.state.freshAt, s.state.renewedAt, s.state.configAt
		s.view.Store(&copied)
	}
	config, source := s.state.config, s.followed.name
	s.mutex.Unlock()
	if config != before {
		s.log.WithField("version", config.Version).WithField("routes", len(config.Routes)).
			WithField("source", source).Info("configuration in force")
	}
	if changed || confirmed {
		s.notifyFollowers()
	}
	if changed {
		s.notifyWatchers()
	}
}

// memorySlack is the difference from which another daemon's memory counts as older.
const memorySlack = time.Second

// remember takes over the time since which another daemon says the fleet has lost nothing, as
// how long ago it was, if that is before what this daemon knows.
func (s *Service) remember(now time.Time, ago time.Duration) {
	since := now.Add(-ago)
	if ago == 0 || s.View().RememberedSince.Sub(since) < memorySlack {
		return
	}
	s.update(func(state *state) bool {
		if !since.Before(state.rememberedSince) {
			return false
		}
		state.rememberedSince = since
		return true
	})
}

// notifyWatchers passes the latest view to the watchers. Updates run concurrently,
// so the view of the calling update may have been replaced already.
func (s *Service) notifyWatchers() {
	s.watching.Lock()
	defer s.watching.Unlock()
	view := s.View()
	for _, watch := range s.watchers {
		watch(view)
	}
}

// notifyFollowers wakes the calls of followers that wait for a change.
func (s *Service) notifyFollowers() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// State is the feed's part of a state dump.
type State struct {
	Source  string        `yaml:"source"`
	Age     time.Duration `yaml:"age"`
	Version uint64        `yaml:"version"`
	Servers int           `yaml:"servers"`
	Daemons int           `yaml:"daemons"`
}

// Dump returns the State of the feed.
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

var (
	errNoView      = errors.New("source has no view yet")
	errStaleSource = errors.New("source is stale")
	errUnfitSource = errors.New("source is stopping or gets its view from this daemon")
)
