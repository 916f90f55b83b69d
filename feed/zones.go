package feed

import (
	"cmp"
	"slices"
	"time"

	"dandeliondoor/rank"
	"dandeliondoor/topo"
)

// zoneRanking orders the daemons of the fleet as sources of the view. One daemon reads
// the store. The first usable daemon of each other zone gets the view from a zone
// before its own, and the daemons of a zone form a tree below it.
type zoneRanking struct {
	zones  []string
	ranked map[string][]topo.Daemon
}

// newZoneRanking ranks the daemons of the fleet, and self if it is not listed yet.
func newZoneRanking(self topo.Daemon, listed []topo.Daemon) zoneRanking {
	daemons := map[string][]topo.Daemon{self.Zone: {self}}
	for _, daemon := range listed {
		if daemon.Name != self.Name {
			daemons[daemon.Zone] = append(daemons[daemon.Zone], daemon)
		}
	}
	ranking := zoneRanking{ranked: make(map[string][]topo.Daemon, len(daemons))}
	for zone, members := range daemons {
		ranking.zones = append(ranking.zones, zone)
		ranking.ranked[zone] = topo.RankDaemons(receiverName+"/"+zone, members)
	}
	slices.SortFunc(ranking.zones, func(a, b string) int {
		return cmp.Compare(rank.Score(receiverName, a), rank.Score(receiverName, b))
	})
	return ranking
}

// lostPeriod is how long a daemon has to be lost until others take its place in the
// ranking of its zone.
const lostPeriod = 5 * time.Second

// zoneRanking ranks the listed daemons, less those that this daemon has lost for long. With
// those, a zone that has lost its first readers for good would have none.
func (s *Service) zoneRanking(now time.Time) zoneRanking {
	daemons := s.View().Daemons
	if lost := s.peers.LostFor(now, lostPeriod); len(lost) > 0 {
		daemons = slices.DeleteFunc(slices.Clone(daemons), func(d topo.Daemon) bool {
			_, isLost := lost[d.Address]
			return isLost
		})
	}
	return newZoneRanking(s.self, daemons)
}

// rank returns the position of a daemon among those of its zone.
func (z zoneRanking) rank(self topo.Daemon) int {
	return slices.IndexFunc(z.ranked[self.Zone], func(d topo.Daemon) bool { return d.Name == self.Name })
}

// readersOf returns the daemons that may read the store for a zone.
func (z zoneRanking) readersOf(zone string) []topo.Daemon {
	ranked := z.ranked[zone]
	return ranked[:min(len(ranked), maxReaders)]
}

// readersBefore returns the daemons that read the store rather than this one: those of
// its own zone, and then those of the zones before it.
func (z zoneRanking) readersBefore(self topo.Daemon) []topo.Daemon {
	own := z.readersOf(self.Zone)
	readers := slices.Clone(own[:min(z.rank(self), len(own))])
	for _, zone := range z.zones[:slices.Index(z.zones, self.Zone)] {
		readers = append(readers, z.readersOf(zone)[:min(len(z.readersOf(zone)), maxZoneReaders)]...)
	}
	return readers[:min(len(readers), maxSources)]
}

// sources returns the daemons that a daemon tries as sources, in this order: its
// parent in the tree of its zone, the readers of the zone, and for a reader those of
// the zones before.
func (z zoneRanking) sources(self topo.Daemon) []topo.Daemon {
	own := z.rank(self)
	if own <= maxReaders {
		return z.readersBefore(self)
	}
	return append([]topo.Daemon{z.parent(self)}, z.readersOf(self.Zone)...)
}

// parent returns the parent of a daemon in the tree of its zone, which is not the first
// one. The daemons have children in the order of ranks.
func (z zoneRanking) parent(self topo.Daemon) topo.Daemon {
	ranked := z.ranked[self.Zone]
	places, own := 0, z.rank(self)
	for _, daemon := range ranked[:own] {
		if places += fanOut(daemon); places >= own {
			return daemon
		}
	}
	return ranked[0]
}

// fanOut returns the number of children of a daemon.
func fanOut(daemon topo.Daemon) int {
	return min(max(int(fanOutPerCapacity*daemon.Capacity), minFanOut), maxFanOut)
}

// others returns further sources for a daemon that cannot reach the store: the next
// ones of its zone and the readers of the zones after it.
func (z zoneRanking) others(self topo.Daemon) []topo.Daemon {
	ranked, own := z.ranked[self.Zone], z.rank(self)
	others := slices.Clone(ranked[own+1 : min(len(ranked), own+1+maxReaders)])
	for _, zone := range z.zones[slices.Index(z.zones, self.Zone)+1:] {
		others = append(others, z.readersOf(zone)[:min(len(z.readersOf(zone)), maxZoneReaders)]...)
	}
	return others[:min(len(others), maxReaders+maxSources)]
}
