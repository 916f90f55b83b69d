package slots

import (
	"fmt"

	"dandeliondoor/crash"
	"dandeliondoor/rank"
	"dandeliondoor/topo"
)

// maxPartServers is the maximum number of servers in a part. A decision examines
// each of them, which takes about 10 µs for 200, and the load of asks on one
// daemon has to stay small however large a service is.
const maxPartServers = 200

// PoolKey identifies a part of a service's servers, which has one broker. Part
// ranges from 0 to Parts - 1.
type PoolKey struct {
	Service string
	Part    int
	Parts   int
}

// PartCount returns the number of parts for a number of servers. It is a power of
// two, so that it rarely changes as servers are added and removed.
func PartCount(servers int) int {
	parts := 1
	for servers > parts*maxPartServers {
		parts *= 2
	}
	return parts
}

// newPoolKey returns the part that handles a request fingerprint. It is the same
// for each attempt, so that one pool sees all lost connections of a fingerprint,
// except that each refusal moves on to the next part.
func newPoolKey(service string, servers int, content crash.Fingerprint, refusals int) PoolKey {
	parts := PartCount(servers)
	part := (uint64(content) + uint64(refusals)) % uint64(parts)
	return PoolKey{Service: service, Part: int(part), Parts: parts}
}

// rankingKey returns the key for which daemons are ranked as brokers of the part.
func (k PoolKey) rankingKey() string {
	if k.Parts == 1 {
		return k.Service
	}
	return fmt.Sprintf("%s/%d/%d", k.Service, k.Part, k.Parts)
}

// servers filters the servers of a service to those that belong to the part.
func (k PoolKey) servers(all []topo.Server) []topo.Server {
	if k.Parts <= 1 {
		return all
	}
	var members []topo.Server
	for _, server := range all {
		if rank.Score(k.Service, server.ID)%uint64(k.Parts) == uint64(k.Part) {
			members = append(members, server)
		}
	}
	return members
}
