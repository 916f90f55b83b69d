package slots

import (
	"fmt"

	"dandeliondoor/crash"
	"dandeliondoor/rank"
	"dandeliondoor/topo"
)

// PoolKey identifies a part of a service's servers, which has one broker. Part
// ranges from 0 to Parts - 1.
type PoolKey struct {
	Service string
	Part    int
	Parts   int
}

// newPoolKey returns the part that handles a request. It is the same for each attempt,
// except that each refusal moves on to the next part.
func newPoolKey(service string, parts int, content crash.Fingerprint, refusals int) PoolKey {
	// The lowest bit of a fingerprint is not a part of the hash.
	part := (uint64(content)>>1 + uint64(refusals)) % uint64(parts)
	return PoolKey{Service: service, Part: int(part), Parts: parts}
}

// rankingKey returns the key for which daemons are ranked as brokers of the part. When a
// part is divided, one half of its servers keeps its broker, as parts are powers of two.
func (k PoolKey) rankingKey() string {
	if k.Part == 0 {
		return k.Service
	}
	return fmt.Sprintf("%s/%d", k.Service, k.Part)
}

// servers filters the servers of a service to those that belong to the part.
func (k PoolKey) servers(all []topo.Server) []topo.Server {
	if k.Parts <= 1 {
		return all
	}
	var members []topo.Server
	for _, server := range all {
		if poolOf(k.Service, server.ID, k.Parts) == k {
			members = append(members, server)
		}
	}
	return members
}

// members filters the IDs of servers of a service to those that belong to the part.
func (k PoolKey) members(ids []string) []string {
	if k.Parts <= 1 {
		return ids
	}
	var members []string
	for _, id := range ids {
		if poolOf(k.Service, id, k.Parts) == k {
			members = append(members, id)
		}
	}
	return members
}

// poolOf returns the pool to which a server of a service belongs.
func poolOf(service, server string, parts int) PoolKey {
	return PoolKey{Service: service, Part: int(rank.Score(service, server) % uint64(max(parts, 1))), Parts: parts}
}
