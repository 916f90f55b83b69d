package model

import (
	"cmp"
	"slices"
	"strconv"
)

// MaxPoolSize is the maximum number of upstreams in a pool, which is managed by
// one broker.
const MaxPoolSize = 16

// Pool is a fixed subset of a service's upstreams in one availability zone.
type Pool struct {
	Key       string
	Service   string
	Zone      string
	Upstreams []Upstream
}

// Slots returns the total number of slots of the pool's upstreams.
func (p Pool) Slots() int {
	slots := 0
	for _, upstream := range p.Upstreams {
		slots += upstream.Slots
	}
	return slots
}

// Pools partitions the upstreams of a service into pools, ordered by zone and
// partition number. The result depends only on the declaration.
func Pools(service Service) []Pool {
	sorted := slices.Clone(service.Upstreams)
	slices.SortFunc(sorted, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	var pools []Pool
	for start := 0; start < len(sorted); {
		end := start
		for end < len(sorted) && sorted[end].Zone == sorted[start].Zone {
			end++
		}
		pools = append(pools, partitionZone(service.Name, sorted[start:end])...)
		start = end
	}
	return pools
}

// partitionZone splits the upstreams of one zone into the fewest pools allowed by
// MaxPoolSize, whose sizes differ by at most one.
func partitionZone(service string, upstreams []Upstream) []Pool {
	zone := upstreams[0].Zone
	count := (len(upstreams) + MaxPoolSize - 1) / MaxPoolSize
	pools := make([]Pool, 0, count)
	for i := range count {
		from := i * len(upstreams) / count
		to := (i + 1) * len(upstreams) / count
		pools = append(pools, Pool{
			Key:       service + "/" + zone + "/" + strconv.Itoa(i),
			Service:   service,
			Zone:      zone,
			Upstreams: upstreams[from:to],
		})
	}
	return pools
}
