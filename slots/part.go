package slots

import (
	"fmt"

	"dandeliondoor/crash"
	"dandeliondoor/rank"
	"dandeliondoor/topo"
)

// partServers is how many servers of a service one daemon decides for at most.
// Deciding looks at each of them, some 10 µs for 200, and a daemon's share of the
// asks has to stay small however large a service is.
const partServers = 200

// PoolKey names a part of a service's servers, for which one daemon decides. Part
// counts from 0 to Parts - 1.
type PoolKey struct {
	Service string
	Part    int
	Parts   int
}

// PartsOf returns into how many parts so many servers are divided: a power of
// two, so that it changes seldom as servers come and go.
func PartsOf(servers int) int {
	parts := 1
	for servers > parts*partServers {
		parts *= 2
	}
	return parts
}

// newPoolKey returns the part that decides on a content, which stays the same so
// that one pool sees all the losses of a content. Each refusal moves on by one.
func newPoolKey(service string, servers int, content crash.Fingerprint, refusals int) PoolKey {
	parts := PartsOf(servers)
	part := (uint64(content) + uint64(refusals)) % uint64(parts)
	return PoolKey{Service: service, Part: int(part), Parts: parts}
}

// rankKey returns the name by which daemons are ranked for the part.
func (k PoolKey) rankKey() string {
	if k.Parts == 1 {
		return k.Service
	}
	return fmt.Sprintf("%s/%d/%d", k.Service, k.Part, k.Parts)
}

// servers returns those of a service's servers that belong to the part.
func (k PoolKey) servers(all []topo.Server) []topo.Server {
	if k.Parts <= 1 {
		return all
	}
	var own []topo.Server
	for _, server := range all {
		if rank.Score(k.Service, server.ID)%uint64(k.Parts) == uint64(k.Part) {
			own = append(own, server)
		}
	}
	return own
}
