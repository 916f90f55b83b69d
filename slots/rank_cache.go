package slots

import (
	"sync"

	"dandeliondoor/topo"
)

// rankCache caches rankings of the daemons until a view with a new list of daemons is
// published. It is safe for concurrent use.
type rankCache[Key comparable] struct {
	mutex   sync.Mutex
	ranked  map[Key][]topo.Daemon
	daemons []topo.Daemon
}

// get returns the highest ranked daemons of a key, at most limit; rankingKey is the key
// as hashed.
func (c *rankCache[Key]) get(key Key, rankingKey string, daemons []topo.Daemon, limit int) []topo.Daemon {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ranked == nil || !sameSlice(daemons, c.daemons) {
		c.daemons = daemons
		c.ranked = make(map[Key][]topo.Daemon)
	}
	ranked, known := c.ranked[key]
	if !known {
		ranked = topo.RankDaemons(rankingKey, daemons)
		ranked = ranked[:min(len(ranked), limit)]
		c.ranked[key] = ranked
	}
	return ranked
}

// sameSlice reports whether two slices have the same length and the same first
// element in memory. It does not compare the elements.
func sameSlice(a, b []topo.Daemon) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
