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

// Name is the name under which other services find the configuration.
const Name = "configuration"

// The times of the loop.
const (
	pollInterval    = 500 * time.Millisecond
	maxFollowedAge  = 6 * time.Second
	staleInterval   = time.Second
	maxLogPause     = 10 * time.Second
	randomPeers     = 2
	compareInterval = 10 * time.Second
)

// Service keeps the configuration in force.
type Service struct {
	members *member.Service
	peers   *wire.Peers
	log     Log
	store   *store
	renewer *Renewer
	random  *rand.Rand
	entry   *logrus.Entry

	cursors    map[string]cursor
	gapSince   time.Time
	logPause   time.Duration
	logAt      time.Time
	comparedAt time.Time
	role       Role
}

var (
	_ kernel.Service = &Service{}
	_ kernel.Dumper  = &Service{}
)

// Settings are what the service takes from the process's settings.
type Settings struct {
	Retention time.Duration
	Seed      uint64
}

// New returns a service without configuration.
func New(
	members *member.Service, peers *wire.Peers, log Log, settings Settings, entry *logrus.Entry,
) *Service {
	random := rand.New(rand.NewPCG(settings.Seed, settings.Seed))
	return &Service{
		members: members,
		peers:   peers,
		log:     log,
		store:   newStore(random.Uint64(), entry),
		renewer: NewRenewer(time.Now(), settings.Retention, settings.Seed),
		random:  random,
		entry:   entry,
		cursors: make(map[string]cursor),
		role:    Reader{},
	}
}

// Name returns Name.
func (s *Service) Name() string { return Name }

// Table returns the configuration in force.
func (s *Service) Table() *route.Table { return s.store.table.Load() }

// Ready reports whether there is a configuration to serve by.
func (s *Service) Ready() bool {
	return s.store.standing().covered && len(s.Table().Services()) > 0
}

// Watch registers a call for each change; it has to come before Start and must
// not block.
func (s *Service) Watch(changed func()) {
	s.store.watchers = append(s.store.watchers, changed)
}

// Receivers serves the calls of followers.
func (s *Service) Receivers(*wire.Session) []wire.Receiver {
	return []wire.Receiver{{Name: receiverName, Methods: &receiver{store: s.store}}}
}

// Start follows or reads until the context ends.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) (<-chan error, error) {
	return kernel.Run(ctx, s.run), nil
}

func (s *Service) run(ctx context.Context) error {
	s.askAround(ctx)
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
		s.renew(ctx)
		s.compareNotes(ctx)
		sleep(ctx, pollInterval)
		return
	}
	s.askAround(ctx)
	sleep(ctx, s.jitter(staleInterval))
}

// followStep follows the first ancestor that is fresh. When none is, any fresh
// daemon will do, and now and then the log itself is tried.
func (s *Service) followStep(ctx context.Context, role Follower) {
	for _, ancestor := range role.Ancestors {
		address, known := s.address(s.members.Self().Zone, ancestor)
		if !known {
			continue
		}
		age, covered := s.followOnce(ctx, ancestor, address, followWait)
		if covered && age < maxFollowedAge {
			s.logPause = 0
			return
		}
	}
	s.askAround(ctx)
	s.tryLog(ctx)
	sleep(ctx, s.jitter(staleInterval))
}

// tryLog reads the log, less and less often while it does not answer.
func (s *Service) tryLog(ctx context.Context) {
	now := time.Now()
	if now.Sub(s.logAt) < s.logPause {
		return
	}
	s.logAt = now
	if s.readOnce(ctx) {
		s.logPause = 0
		return
	}
	s.logPause = min(max(2*s.logPause, staleInterval), s.jitter(maxLogPause)+staleInterval)
}

// compareNotes asks around now and then, for a log that was emptied and filled
// again between two reads looks whole to a reader.
func (s *Service) compareNotes(ctx context.Context) {
	now := time.Now()
	if now.Sub(s.comparedAt) < compareInterval {
		return
	}
	s.comparedAt = now
	s.askAround(ctx)
}

// askAround takes what a few daemons chosen at random have.
func (s *Service) askAround(ctx context.Context) {
	zones := s.members.Zones()
	for range randomPeers {
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
	_, reads := role.(Reader)
	_, read := s.role.(Reader)
	if reads != read {
		s.entry.WithField("reader", reads).Debug("role changed")
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

// jitter returns a random time between half of the period and all of it.
func (s *Service) jitter(period time.Duration) time.Duration {
	return period/2 + time.Duration(s.random.Float64()*float64(period/2))
}
