package spread

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"dandeliondoor/kernel"
	"dandeliondoor/member"
	"dandeliondoor/rank"
	"dandeliondoor/route"
	"dandeliondoor/wire"
)

// Name is the name of the service in the kernel and in logs. The ranking of daemons
// also depends on it.
const Name = "configuration"

const (
	// pollInterval is the time between two reads of the log.
	pollInterval = 500 * time.Millisecond
	// maxAncestorAge is the age of an ancestor's state from which a follower tries
	// the next source.
	maxAncestorAge = 6 * time.Second
	// retryInterval is the longest time between two attempts when no source has a
	// current state, and the shortest backoff of the log.
	retryInterval = time.Second
	// maxLogBackoff limits the backoff between reads of the log, before jitter and
	// retryInterval are applied.
	maxLogBackoff = 10 * time.Second
	// peersPerSync is the number of peers chosen by syncRandomPeers.
	peersPerSync = 2
	// syncInterval is the time between two syncs of a reader with random peers.
	syncInterval = 10 * time.Second
)

// Service keeps the active configuration of a daemon up to date.
type Service struct {
	members   *member.Service
	peers     *wire.Peers
	log       Log
	store     *store
	scheduler *CheckpointScheduler
	random    *rand.Rand
	logger    *logrus.Entry

	cursors map[string]cursor
	// gapSince is when a gap in the log was first found; it is zero without a gap.
	gapSince       time.Time
	logBackoff     time.Duration
	lastLogAttempt time.Time
	lastSync       time.Time
	// role is set under the store's mutex, because Status reads it.
	role Role
}

var (
	_ kernel.Service = &Service{}
	_ kernel.Dumper  = &Service{}
)

// Settings configures a Service. Retention is how long the log keeps records.
type Settings struct {
	Retention time.Duration
	Seed      uint64
}

// New returns a service with an empty configuration.
func New(
	members *member.Service, peers *wire.Peers, log Log, settings Settings, logger *logrus.Entry,
) *Service {
	random := rand.New(rand.NewPCG(settings.Seed, settings.Seed))
	return &Service{
		members:   members,
		peers:     peers,
		log:       log,
		store:     newStore(random.Uint64(), logger),
		scheduler: NewCheckpointScheduler(time.Now(), settings.Retention, settings.Seed),
		random:    random,
		logger:    logger,
		cursors:   make(map[string]cursor),
		role:      Reader{},
	}
}

// Name returns Name.
func (s *Service) Name() string { return Name }

// Table returns the route table of the active configuration.
func (s *Service) Table() *route.Table { return s.store.table.Load() }

// Ready reports whether the configuration has included the whole log and defines a
// service.
func (s *Service) Ready() bool {
	return s.store.snapshot().covered && len(s.Table().Services()) > 0
}

// Watch registers a callback that runs after each change of the configuration. It
// must be called before Start. The callback runs while the store is locked: it must
// not block or call a method of the service other than Table.
func (s *Service) Watch(changed func()) {
	s.store.watchers = append(s.store.watchers, changed)
}

// Receivers returns the net/rpc receiver that serves followers.
func (s *Service) Receivers(*wire.Session) []wire.Receiver {
	return []wire.Receiver{{Name: receiverName, Methods: &receiver{store: s.store}}}
}

// Start reads the log or follows other daemons until the context ends.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) (<-chan error, error) {
	return kernel.Run(ctx, s.run), nil
}

func (s *Service) run(ctx context.Context) error {
	s.syncRandomPeers(ctx)
	for ctx.Err() == nil {
		s.setRole(s.currentRole())
		switch role := s.role.(type) {
		case Reader:
			s.readStep(ctx)
		case Follower:
			s.followStep(ctx, role)
		}
	}
	return nil
}

func (s *Service) readStep(ctx context.Context) {
	if s.readOnce(ctx) {
		s.writeDueCheckpoint(ctx)
		s.syncPeriodically(ctx)
		sleep(ctx, pollInterval)
		return
	}
	s.syncRandomPeers(ctx)
	sleep(ctx, s.jitter(retryInterval))
}

// followStep follows the first ancestor whose state is current. If there is none, it
// syncs with random peers and reads the log with backoff.
func (s *Service) followStep(ctx context.Context, role Follower) {
	for _, ancestor := range role.Ancestors {
		address, known := s.address(s.members.Self().Zone, ancestor)
		if !known {
			continue
		}
		age, covered := s.followOnce(ctx, ancestor, address, longPollTimeout)
		if covered && age < maxAncestorAge {
			s.logBackoff = 0
			return
		}
	}
	s.syncRandomPeers(ctx)
	s.readLogWithBackoff(ctx)
	sleep(ctx, s.jitter(retryInterval))
}

// readLogWithBackoff reads the log unless the backoff after a failed read has not
// elapsed yet.
func (s *Service) readLogWithBackoff(ctx context.Context) {
	now := time.Now()
	if now.Sub(s.lastLogAttempt) < s.logBackoff {
		return
	}
	s.lastLogAttempt = now
	if s.readOnce(ctx) {
		s.logBackoff = 0
		return
	}
	s.logBackoff = min(max(2*s.logBackoff, retryInterval), s.jitter(maxLogBackoff)+retryInterval)
}

// syncPeriodically syncs with random peers every syncInterval. A reader cannot
// detect on its own that the log was emptied and refilled between two reads.
func (s *Service) syncPeriodically(ctx context.Context) {
	now := time.Now()
	if now.Sub(s.lastSync) < syncInterval {
		return
	}
	s.lastSync = now
	s.syncRandomPeers(ctx)
}

// syncRandomPeers merges the state of a few daemons that are chosen at random.
func (s *Service) syncRandomPeers(ctx context.Context) {
	zones := s.members.Zones()
	for range peersPerSync {
		zone := zones[s.random.IntN(len(zones))]
		daemons := s.members.Daemons(time.Now(), zone)
		if len(daemons) == 0 {
			continue
		}
		chosen := daemons[s.random.IntN(len(daemons))]
		if chosen.Name != s.members.Self().Name {
			s.followOnce(ctx, chosen.Name, chosen.Address, 0)
		}
	}
}

func (s *Service) currentRole() Role {
	self := s.members.Self()
	var names []string
	for _, daemon := range s.members.Daemons(time.Now(), self.Zone) {
		names = append(names, daemon.Name)
	}
	return RoleOf(rank.Order(Name+"/"+self.Zone, names), self.Name)
}

func (s *Service) setRole(role Role) {
	_, isReader := role.(Reader)
	_, wasReader := s.role.(Reader)
	if isReader != wasReader {
		s.logger.WithField("reader", isReader).Debug("role changed")
	}
	s.store.mutex.Lock()
	defer s.store.mutex.Unlock()
	s.role = role
}

func (s *Service) address(zone, name string) (netip.AddrPort, bool) {
	for _, daemon := range s.members.Daemons(time.Now(), zone) {
		if daemon.Name == name {
			return daemon.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// jitter returns a random duration between half of the period and the full period.
func (s *Service) jitter(period time.Duration) time.Duration {
	return period/2 + time.Duration(s.random.Float64()*float64(period/2))
}
