package reach

import (
	"sync"

	"dandeliondoor/feed"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

const (
	// Preferred is how many of the highest ranked daemons have a role unless they are lost. A
	// daemon below them takes their place only once it has responded, so that no request waits
	// for one that may be lost, too.
	Preferred = 4
	// maxUntried bounds the daemons below the preferred ones that are tried at the same
	// time for a role.
	maxUntried = 4
	// rankDepth is how many daemons of a ranking are kept at first. It grows while most
	// of them are lost.
	rankDepth = 8
)

// ViewSource returns this daemon's record and its current view.
type ViewSource interface {
	View() *feed.View
	Self() topo.Daemon
}

// Ranking determines which daemons have the roles of type K. It is safe for concurrent use.
type Ranking[K comparable] struct {
	views ViewSource
	peers *wire.Peers
	cache Cache[K]
}

// NewRanking returns a ranking. Key returns the key for which daemons are ranked for a role.
func NewRanking[K comparable](views ViewSource, peers *wire.Peers, key func(role K) string) *Ranking[K] {
	return &Ranking[K]{views: views, peers: peers, cache: Cache[K]{key: key}}
}

// Living returns the daemons that have a role, by descending rank, at most limit of the first
// depth. This daemon itself counts as reached.
func (r *Ranking[K]) Living(role K, limit, depth int) []topo.Daemon {
	daemons, self := r.views.View().Daemons, r.views.Self().Name
	var living []topo.Daemon
	untried := 0
	for rank := 0; rank < min(len(daemons), depth) && len(living) < limit && untried < maxUntried; rank++ {
		daemon := r.cache.At(role, daemons, rank)
		state := wire.Reached
		if daemon.Name != self {
			state = r.reach(daemon, rank)
		}
		switch state {
		case wire.Reached:
			living = append(living, daemon)
		case wire.Untried:
			untried++
		case wire.Lost:
		}
	}
	return living
}

// Top returns the names of the first daemons for a role, at most depth.
func (r *Ranking[K]) Top(role K, depth int) []string {
	daemons := r.views.View().Daemons
	var names []string
	for rank := range min(len(daemons), depth) {
		names = append(names, r.cache.At(role, daemons, rank).Name)
	}
	return names
}

// RankOf returns the rank of a daemon among the preferred ones for a role, or Preferred if it
// is none of them.
func (r *Ranking[K]) RankOf(role K, name string) int {
	return r.cache.RankOf(role, r.views.View().Daemons, name)
}

// reach returns whether a daemon of some rank is reached. A preferred one that has not been
// tried counts as reached.
func (r *Ranking[K]) reach(daemon topo.Daemon, rank int) wire.Reach {
	if rank >= Preferred {
		return r.peers.Probe(daemon.Address)
	}
	if r.peers.Usable(daemon.Address) {
		return wire.Reached
	}
	return wire.Lost
}

// Cache caches the first daemons of the rankings for roles until a view with a new list of
// daemons is published. It is safe for concurrent use.
type Cache[K comparable] struct {
	key     func(role K) string
	mutex   sync.Mutex
	ranked  map[K][]topo.Daemon
	daemons []topo.Daemon
}

// NewCache returns an empty cache. Key returns the key for which daemons are ranked for a role.
func NewCache[K comparable](key func(role K) string) *Cache[K] { return &Cache[K]{key: key} }

// At returns the daemon of some rank for a role.
func (c *Cache[K]) At(role K, daemons []topo.Daemon, rank int) topo.Daemon {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ranked == nil || !sameSlice(daemons, c.daemons) {
		c.daemons = daemons
		c.ranked = make(map[K][]topo.Daemon)
	}
	if ranked := c.ranked[role]; rank >= len(ranked) {
		depth := max(rankDepth, 2*len(ranked), rank+1)
		ranked = topo.RankDaemons(c.key(role), daemons)
		c.ranked[role] = ranked[:min(len(ranked), depth)]
	}
	return c.ranked[role][rank]
}

// RankOf returns the rank of a daemon among the preferred ones for a role, or Preferred if it
// is none of them.
func (c *Cache[K]) RankOf(role K, daemons []topo.Daemon, name string) int {
	for rank := range min(Preferred, len(daemons)) {
		if c.At(role, daemons, rank).Name == name {
			return rank
		}
	}
	return Preferred
}

// sameSlice reports whether two slices have the same length and the same first
// element in memory. It does not compare the elements.
func sameSlice(a, b []topo.Daemon) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
