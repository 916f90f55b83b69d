package feed

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandeliondoor/crash"
	"dandeliondoor/topo"
)

// View is an immutable snapshot of what a daemon knows. FreshAt is when the
// store last confirmed the servers, and ConfigFreshAt when it last confirmed the
// configuration. RenewedAt is when this daemon last got a
// fresh view after having an old one (see renewedFactor) or none; the
// configuration may arrive slightly later. Services groups the servers by
// service, and Parts is the number of parts of those that have several. Crashes contains
// the requests that have ended several servers. StoreEra is the era of the store, which rises
// with each restore from a copy. RememberedSince is the time since which the fleet has not lost
// all that it keeps in memory only: the start of the first daemon after such a loss, or zero if
// there was none since the fleet was first started.
type View struct {
	Table     *topo.RouteTable
	Servers   map[string]topo.Server
	Services  map[string][]topo.Server
	Parts     map[string]int
	Daemons   []topo.Daemon
	Crashes   map[crash.Fingerprint]crash.Record
	FreshAt   time.Time
	RenewedAt time.Time
	StoreEra  uint64

	ConfigFreshAt   time.Time
	RememberedSince time.Time
}

// Ready reports whether the view is sufficient to serve requests.
func (v *View) Ready() bool { return v.Table != nil && v.Servers != nil }

// PartCount returns the number of parts into which the servers of a service are divided.
func (v *View) PartCount(service string) int {
	if parts, several := v.Parts[service]; several {
		return parts
	}
	return topo.PartCount(1, len(v.Services[service]))
}

// nextParts returns the numbers of parts of the services that have several, given the
// present ones.
func nextParts(current map[string]int, services map[string][]topo.Server) map[string]int {
	next := make(map[string]int)
	for service, servers := range services {
		if parts := topo.PartCount(current[service], len(servers)); parts > 1 {
			next[service] = parts
		}
	}
	return next
}

// state collects the data from the store or another daemon. Path lists the
// daemons that passed it on; it is empty if the data comes from the store. Listed is the
// list of daemons as of revision listedRev.
type state struct {
	config       *topo.Config
	servers      *topo.VersionedTable[topo.Server]
	daemons      *topo.VersionedTable[topo.Daemon]
	listed       []topo.Daemon
	listedRev    uint64
	crashes      *topo.VersionedTable[crash.Record]
	parts        map[string]int
	serversKnown bool
	freshAt      time.Time
	configAt     time.Time
	renewedAt    time.Time
	path         []string
	serverHold   *RestoreHold[topo.Server]
	daemonHold   *RestoreHold[topo.Daemon]
	crashHold    *RestoreHold[crash.Record]

	rememberedSince time.Time
}

func newState() *state {
	return &state{
		servers: topo.NewVersionedTable(hashServer), daemons: topo.NewVersionedTable(hashDaemon),
		crashes:    topo.NewVersionedTable(hashCrash),
		serverHold: NewServerHold(),
		daemonHold: NewRecordHold[topo.Daemon](),
		crashHold:  NewRecordHold[crash.Record](),
	}
}

// era returns the highest era of the store that the state has data of.
func (s *state) era() uint64 { return max(s.serverHold.era, s.daemonHold.era, s.crashHold.era) }

// hashServer hashes the fields that Server.EqualExceptWarmUp compares.
func hashServer(id string, server topo.Server) uint64 {
	return xxhash.Sum64String(fmt.Sprint(
		id, server.Service, server.Address, server.Zone, server.Slots, server.Draining, server.Born,
	))
}

func hashDaemon(name string, daemon topo.Daemon) uint64 {
	return xxhash.Sum64String(fmt.Sprint(name, daemon.Zone, daemon.Address, daemon.Capacity))
}

func hashCrash(fingerprint string, record crash.Record) uint64 {
	return xxhash.Sum64String(fmt.Sprint(fingerprint, record.Ends, record.Tests, record.AfterLoss))
}

// applyConfig stores a configuration if it is newer than the current one and
// reports whether it did.
func (s *state) applyConfig(config *topo.Config) bool {
	if config == nil || (s.config != nil && config.Version <= s.config.Version) {
		return false
	}
	s.config = config
	return true
}

func (s *state) applyServers(changes []topo.Change[topo.Server], complete bool) bool {
	s.serversKnown = s.serversKnown || complete
	return applyChanges(s.servers, changes, complete, topo.Server.EqualExceptWarmUp)
}

func (s *state) applyDaemons(now time.Time, b Batch[topo.Daemon]) bool {
	filtered, _ := s.daemonHold.Filter(now, s.daemons, b)
	return applyChanges(s.daemons, filtered.Changes, filtered.Complete, func(a, b topo.Daemon) bool { return a == b })
}

func (s *state) applyCrashes(now time.Time, b Batch[crash.Record]) bool {
	filtered, _ := s.crashHold.Filter(now, s.crashes, b)
	return applyChanges(s.crashes, filtered.Changes, filtered.Complete, crash.Record.Equal)
}

// applyChanges applies changes to a table and reports whether its contents
// changed. A complete list also removes the keys that are not on it.
func applyChanges[V any](table *topo.VersionedTable[V], changes []topo.Change[V], complete bool, equal func(a, b V) bool) bool {
	changed := false
	for _, change := range changes {
		if change.Gone {
			changed = table.Remove(change.Key) || changed
			continue
		}
		if known, found := table.Get(change.Key); !found || !equal(known, change.Value) {
			table.Put(change.Key, change.Value)
			changed = true
		}
	}
	if complete {
		for _, key := range unlistedKeys(table, changes) {
			changed = table.Remove(key) || changed
		}
	}
	table.CompactRemoved()
	return changed
}

// unlistedKeys returns the keys of a table that are missing from a complete
// list.
func unlistedKeys[V any](table *topo.VersionedTable[V], changes []topo.Change[V]) []string {
	listed := make(map[string]struct{}, len(changes))
	for _, change := range changes {
		if !change.Gone {
			listed[change.Key] = struct{}{}
		}
	}
	var keys []string
	table.Each(func(key string, _ V) {
		if _, found := listed[key]; !found {
			keys = append(keys, key)
		}
	})
	return keys
}

// snapshot returns a view of the state. It reuses the route table of the
// previous view if the configuration is the same.
func (s *state) snapshot(previous *View) *View {
	v := &View{
		FreshAt: s.freshAt, RenewedAt: s.renewedAt, ConfigFreshAt: s.configAt, StoreEra: s.era(),
		RememberedSince: s.rememberedSince,
	}
	if s.config != nil {
		v.Table = previous.Table
		if v.Table == nil || v.Table.Config != s.config {
			v.Table = topo.NewRouteTable(s.config)
		}
	}
	if s.serversKnown {
		v.Servers = make(map[string]topo.Server)
		v.Services = make(map[string][]topo.Server)
		s.servers.Each(func(id string, server topo.Server) {
			v.Servers[id] = server
			v.Services[server.Service] = append(v.Services[server.Service], server)
		})
	}
	if len(s.path) == 0 {
		// The daemon that reads the store decides for all.
		s.parts = nextParts(s.parts, v.Services)
	}
	v.Parts = s.parts
	v.Daemons = s.listDaemons()
	v.Crashes = make(map[crash.Fingerprint]crash.Record)
	s.crashes.Each(func(key string, record crash.Record) {
		if fingerprint, err := crash.ParseFingerprint(key); err == nil {
			v.Crashes[fingerprint] = record
		}
	})
	return v
}

// listDaemons returns the daemons by name. It returns the same slice until they change,
// since rankings are cached by it.
func (s *state) listDaemons() []topo.Daemon {
	if s.listed != nil && s.listedRev == s.daemons.Rev() {
		return s.listed
	}
	s.listed, s.listedRev = nil, s.daemons.Rev()
	s.daemons.Each(func(_ string, daemon topo.Daemon) { s.listed = append(s.listed, daemon) })
	slices.SortFunc(s.listed, func(a, b topo.Daemon) int { return strings.Compare(a.Name, b.Name) })
	return s.listed
}
