package member

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"dandeliondoor/kernel"
	"dandeliondoor/plat"
	"dandeliondoor/wire"
)

// Name is the name under which other services find the members.
const Name = "member"

// leftPeriod is how long a daemon that said it is leaving is not asked again.
const leftPeriod = time.Minute

// Lister returns the VMs of an availability zone.
type Lister interface {
	List(ctx context.Context, zone string) (plat.VMList, error)
}

// Self is this daemon's own entry.
type Self struct {
	Name    string
	Zone    string
	Address netip.AddrPort
}

// Daemon is another daemon, or this one.
type Daemon struct {
	Name    string
	Address netip.AddrPort
}

// Service keeps the list of VMs.
type Service struct {
	self     Self
	zones    []string
	lister   Lister
	peers    *wire.Peers
	interval time.Duration
	log      *logrus.Entry

	mutex    sync.RWMutex
	daemons  map[string][]Daemon
	leaving  map[netip.AddrPort]bool
	left     map[string]time.Time
	listedAt time.Time
	failures int
	watchers []func()
}

var (
	_ kernel.Service = &Service{}
	_ kernel.Dumper  = &Service{}
)

// New returns a service that polls the lists of the zones at the interval.
func New(
	self Self, zones []string, lister Lister, peers *wire.Peers, interval time.Duration, log *logrus.Entry,
) *Service {
	return &Service{
		self:     self,
		zones:    zones,
		lister:   lister,
		peers:    peers,
		interval: interval,
		log:      log,
		daemons:  make(map[string][]Daemon),
		leaving:  make(map[netip.AddrPort]bool),
		left:     make(map[string]time.Time),
	}
}

// Name returns Name.
func (s *Service) Name() string { return Name }

// Self returns this daemon's own entry.
func (s *Service) Self() Self { return s.self }

// OnChange registers a call for each change of the list; it has to come before
// Start.
func (s *Service) OnChange(changed func()) {
	s.watchers = append(s.watchers, changed)
}

// Start polls the list until the context ends.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) (<-chan error, error) {
	s.poll(ctx)
	return kernel.Run(ctx, s.run), nil
}

func (s *Service) run(ctx context.Context) error {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.poll(ctx)
		}
	}
}

// poll reads the list of each zone; what cannot be read stays as it was.
func (s *Service) poll(ctx context.Context) {
	changed := false
	for _, zone := range s.zones {
		list, err := s.lister.List(ctx, zone)
		if err != nil {
			s.noteFailure(ctx, zone, err)
			continue
		}
		changed = s.take(time.Now(), zone, list) || changed
	}
	if !changed {
		return
	}
	for _, watcher := range s.watchers {
		watcher()
	}
}

func (s *Service) noteFailure(ctx context.Context, zone string, err error) {
	if ctx.Err() != nil {
		return
	}
	s.mutex.Lock()
	s.failures++
	s.mutex.Unlock()
	s.log.WithField("zone", zone).WithError(err).Warn("cannot read the list of VMs; keeping the last one")
}

// take replaces what is known of a zone and reports whether it changed.
func (s *Service) take(now time.Time, zone string, list plat.VMList) bool {
	var daemons []Daemon
	s.mutex.Lock()
	defer s.mutex.Unlock()
	changed := false
	for _, vm := range list.VMs {
		if vm.Role == plat.RoleDaemon && vm.State == plat.VMLive {
			daemons = append(daemons, Daemon{Name: vm.Name, Address: vm.Address})
		}
		if vm.Role == plat.RoleUpstream && s.leaving[vm.Address] != (vm.State == plat.VMLeaving) {
			s.leaving[vm.Address] = vm.State == plat.VMLeaving
			changed = true
		}
	}
	slices.SortFunc(daemons, func(a, b Daemon) int { return strings.Compare(a.Name, b.Name) })
	if !slices.Equal(daemons, s.daemons[zone]) {
		s.daemons[zone] = daemons
		changed = true
	}
	s.listedAt = now
	return changed
}

// UpstreamLeaving reports whether the list calls an upstream leaving.
func (s *Service) UpstreamLeaving(address netip.AddrPort) bool {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.leaving[address]
}

// MarkLeaving notes that a daemon said it is leaving.
func (s *Service) MarkLeaving(now time.Time, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.left[name] = now
}

// Count returns how many daemons the lists name, this one included.
func (s *Service) Count() int {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	count := 0
	for _, daemons := range s.daemons {
		count += len(daemons)
	}
	return max(count, 1)
}

// Daemons returns the daemons of a zone that the list calls live, that did not
// say they are leaving and that this daemon's round trips reach. This daemon
// belongs to its own zone whatever the list says.
func (s *Service) Daemons(now time.Time, zone string) []Daemon {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	var usable []Daemon
	for _, daemon := range s.daemons[zone] {
		if daemon.Name == s.self.Name || s.hasLeft(now, daemon.Name) {
			continue
		}
		if s.peers.Usable(daemon.Address) {
			usable = append(usable, daemon)
		}
	}
	if zone == s.self.Zone && !s.hasLeft(now, s.self.Name) {
		usable = append(usable, Daemon{Name: s.self.Name, Address: s.self.Address})
	}
	return usable
}

// Zones returns the zones whose lists are read.
func (s *Service) Zones() []string { return s.zones }

func (s *Service) hasLeft(now time.Time, name string) bool {
	at, said := s.left[name]
	return said && now.Sub(at) < leftPeriod
}

// State is the dump of the members.
type State struct {
	Self     string        `yaml:"self"`
	Zone     string        `yaml:"zone"`
	ListAge  time.Duration `yaml:"list_age"`
	Failures int           `yaml:"failures"`
	Zones    []ZoneState   `yaml:"zones"`
}

// ZoneState is the dump of one zone.
type ZoneState struct {
	Zone    string   `yaml:"zone"`
	Listed  int      `yaml:"listed"`
	Daemons []string `yaml:"usable_daemons"`
}

// Dump returns what is known of each zone.
func (s *Service) Dump(now time.Time) any {
	state := State{Self: s.self.Name, Zone: s.self.Zone}
	for _, zone := range s.zones {
		zoneState := ZoneState{Zone: zone}
		for _, daemon := range s.Daemons(now, zone) {
			zoneState.Daemons = append(zoneState.Daemons, daemon.Name)
		}
		state.Zones = append(state.Zones, zoneState)
	}
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	state.Failures = s.failures
	state.ListAge = now.Sub(s.listedAt).Round(time.Millisecond)
	for i := range state.Zones {
		state.Zones[i].Listed = len(s.daemons[state.Zones[i].Zone])
	}
	return state
}
