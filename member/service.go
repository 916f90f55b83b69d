package member

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"dandeliondoor/infra"
	"dandeliondoor/kernel"
	"dandeliondoor/wire"
)

// Name is the name of the member service.
const Name = "member"

// leavingPeriod is how long a daemon is not used after it announced that it is leaving.
const leavingPeriod = time.Minute

// Lister lists the VMs of an availability zone.
type Lister interface {
	List(ctx context.Context, zone string) (infra.VMList, error)
}

// Self identifies this daemon.
type Self struct {
	Name    string
	Zone    string
	Address netip.AddrPort
}

// Daemon identifies a daemon, which may be this one.
type Daemon struct {
	Name    string
	Address netip.AddrPort
}

// Service polls the platform's list of VMs and keeps the last list of each zone.
type Service struct {
	self     Self
	zones    []string
	lister   Lister
	peers    *wire.Peers
	interval time.Duration
	log      *logrus.Entry

	mutex            sync.RWMutex
	daemons          map[string][]Daemon
	leavingUpstreams map[netip.AddrPort]bool
	leavingDaemons   map[string]time.Time
	listedAt         time.Time
	failures         int
	callbacks        []func()
}

var (
	_ kernel.Service = &Service{}
	_ kernel.Dumper  = &Service{}
)

// New returns a service that polls the list of each zone at the interval.
func New(
	self Self, zones []string, lister Lister, peers *wire.Peers, interval time.Duration, log *logrus.Entry,
) *Service {
	return &Service{
		self:             self,
		zones:            zones,
		lister:           lister,
		peers:            peers,
		interval:         interval,
		log:              log,
		daemons:          make(map[string][]Daemon),
		leavingUpstreams: make(map[netip.AddrPort]bool),
		leavingDaemons:   make(map[string]time.Time),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Self returns the identity of this daemon.
func (s *Service) Self() Self { return s.self }

// OnChange registers a callback that runs after each change of the lists. It must
// be called before Start.
func (s *Service) OnChange(callback func()) {
	s.callbacks = append(s.callbacks, callback)
}

// Start reads the list of each zone once before it returns, and then polls the lists
// until the context ends.
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

// poll reads the list of each zone and calls the callbacks if anything changed. A
// zone whose list cannot be read keeps its previous list.
func (s *Service) poll(ctx context.Context) {
	changed := false
	for _, zone := range s.zones {
		list, err := s.lister.List(ctx, zone)
		if err != nil {
			s.recordFailure(ctx, zone, err)
			continue
		}
		changed = s.update(time.Now(), zone, list) || changed
	}
	if !changed {
		return
	}
	for _, callback := range s.callbacks {
		callback()
	}
}

func (s *Service) recordFailure(ctx context.Context, zone string, err error) {
	if ctx.Err() != nil {
		return
	}
	s.mutex.Lock()
	s.failures++
	s.mutex.Unlock()
	s.log.WithField("zone", zone).WithError(err).Warn("failed to read the list of VMs; keeping the previous list")
}

// update applies the list of a zone and reports whether anything changed.
func (s *Service) update(now time.Time, zone string, list infra.VMList) bool {
	var daemons []Daemon
	s.mutex.Lock()
	defer s.mutex.Unlock()
	changed := false
	for _, vm := range list.VMs {
		if vm.Role == infra.RoleDaemon && vm.State == infra.VMLive {
			daemons = append(daemons, Daemon{Name: vm.Name, Address: vm.Address})
		}
		if vm.Role == infra.RoleUpstream && s.leavingUpstreams[vm.Address] != (vm.State == infra.VMLeaving) {
			s.leavingUpstreams[vm.Address] = vm.State == infra.VMLeaving
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

// UpstreamLeaving reports whether the list marks an upstream as leaving.
func (s *Service) UpstreamLeaving(address netip.AddrPort) bool {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.leavingUpstreams[address]
}

// MarkLeaving records that a daemon announced that it is leaving.
func (s *Service) MarkLeaving(now time.Time, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leavingDaemons[name] = now
}

// Count returns the number of daemons on all lists, at least 1 for this daemon.
func (s *Service) Count() int {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	count := 0
	for _, daemons := range s.daemons {
		count += len(daemons)
	}
	return max(count, 1)
}

// Daemons returns the daemons of a zone that the list marks as live, that have not
// announced that they are leaving and whose connection from this daemon is not
// known to be broken. This daemon itself is included in its own zone even if the
// list does not name it.
func (s *Service) Daemons(now time.Time, zone string) []Daemon {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	var usable []Daemon
	for _, daemon := range s.daemons[zone] {
		if daemon.Name == s.self.Name || s.isLeaving(now, daemon.Name) {
			continue
		}
		if s.peers.Usable(daemon.Address) {
			usable = append(usable, daemon)
		}
	}
	if zone == s.self.Zone && !s.isLeaving(now, s.self.Name) {
		usable = append(usable, Daemon{Name: s.self.Name, Address: s.self.Address})
	}
	return usable
}

// Zones returns the zones whose lists are read.
func (s *Service) Zones() []string { return s.zones }

func (s *Service) isLeaving(now time.Time, name string) bool {
	at, announced := s.leavingDaemons[name]
	return announced && now.Sub(at) < leavingPeriod
}

// State is the state of the member service as shown by state dumps.
type State struct {
	Self     string        `yaml:"self"`
	Zone     string        `yaml:"zone"`
	ListAge  time.Duration `yaml:"list_age"`
	Failures int           `yaml:"failures"`
	Zones    []ZoneState   `yaml:"zones"`
}

// ZoneState is the state of one zone: Listed counts the live daemons on its list,
// Daemons names those that can be used.
type ZoneState struct {
	Zone    string   `yaml:"zone"`
	Listed  int      `yaml:"listed"`
	Daemons []string `yaml:"usable_daemons"`
}

// Dump returns the State of the member service.
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
