package feed

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandeliondoor/topo"
)

// View is what a daemon knows at one moment; it is never changed. FreshAt is when
// the store confirmed the servers last, RenewedAt when that was known here after
// it had been old; the configuration may come a little later.
type View struct {
	Table     *topo.RouteTable
	Servers   map[string]topo.Server
	Services  map[string][]topo.Server
	Daemons   []topo.Daemon
	FreshAt   time.Time
	RenewedAt time.Time
}

// Ready reports whether requests can be served by the view.
func (v *View) Ready() bool { return v.Table != nil && v.Servers != nil }

// state collects what the store or another daemon says. Path are the daemons
// through which it came, empty for the store.
type state struct {
	config       *topo.Config
	servers      *topo.VersionedTable[topo.Server]
	daemons      *topo.VersionedTable[topo.Daemon]
	serversKnown bool
	freshAt      time.Time
	renewedAt    time.Time
	path         []string
}

func newState() *state {
	return &state{servers: topo.NewVersionedTable(hashServer), daemons: topo.NewVersionedTable(hashDaemon)}
}

// hashServer hashes what Same compares.
func hashServer(id string, server topo.Server) uint64 {
	return xxhash.Sum64String(fmt.Sprint(
		id, server.Service, server.Address, server.Zone, server.Slots, server.Draining, server.Born,
	))
}

func hashDaemon(name string, daemon topo.Daemon) uint64 {
	return xxhash.Sum64String(fmt.Sprint(name, daemon.Zone, daemon.Address, daemon.Capacity))
}

// takeConfig takes a configuration unless it is older than the one in force.
func (s *state) takeConfig(config *topo.Config) bool {
	if config == nil || (s.config != nil && config.Version <= s.config.Version) {
		return false
	}
	s.config = config
	return true
}

func (s *state) takeServers(changes []topo.Change[topo.Server], complete bool) bool {
	s.serversKnown = s.serversKnown || complete
	return take(s.servers, changes, complete, topo.Server.EqualExceptWarmUp)
}

func (s *state) takeDaemons(changes []topo.Change[topo.Daemon], complete bool) bool {
	return take(s.daemons, changes, complete, func(a, b topo.Daemon) bool { return a == b })
}

// take applies changes to a table and reports whether anything differs now.
func take[V any](table *topo.VersionedTable[V], changes []topo.Change[V], complete bool, same func(a, b V) bool) bool {
	changed := false
	for _, change := range changes {
		if change.Gone {
			changed = table.Remove(change.Key) || changed
			continue
		}
		if known, found := table.Get(change.Key); !found || !same(known, change.Value) {
			table.Put(change.Key, change.Value)
			changed = true
		}
	}
	if complete {
		for _, key := range missing(table, changes) {
			changed = table.Remove(key) || changed
		}
	}
	table.CompactRemoved()
	return changed
}

// missing returns the keys of a table that a complete list does not hold.
func missing[V any](table *topo.VersionedTable[V], changes []topo.Change[V]) []string {
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

// view returns a snapshot; the table of routes is kept while the configuration
// is the same.
func (s *state) view(previous *View) *View {
	v := &View{FreshAt: s.freshAt, RenewedAt: s.renewedAt}
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
	s.daemons.Each(func(_ string, daemon topo.Daemon) { v.Daemons = append(v.Daemons, daemon) })
	slices.SortFunc(v.Daemons, func(a, b topo.Daemon) int { return strings.Compare(a.Name, b.Name) })
	return v
}
