package model

import (
	"cmp"
	"slices"
	"strconv"
)

// MaxPoolSize is the largest count of upstreams that one broker counts.
const MaxPoolSize = 16

// Pool is a fixed part of the upstreams of one service in one availability
// zone.
type Pool struct {
	Key       string
	Service   string
	Zone      string
	Upstreams []Upstream
}

// Slots returns the sum of the upstreams' slots.
func (p Pool) Slots() int {
	slots := 0
	for _, upstream := range p.Upstreams {
		slots += upstream.Slots
	}
	return slots
}

// Pools cuts a service into pools, from the declaration alone, in the order
// of zone and part.
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
		pools = append(pools, cutZone(service.Name, sorted[start:end])...)
		start = end
	}
	return pools
}

// cutZone cuts the upstreams of one zone into parts of nearly equal size.
func cutZone(service string, upstreams []Upstream) []Pool {
	zone := upstreams[0].Zone
	parts := (len(upstreams) + MaxPoolSize - 1) / MaxPoolSize
	pools := make([]Pool, 0, parts)
	for i := range parts {
		from := i * len(upstreams) / parts
		to := (i + 1) * len(upstreams) / parts
		pools = append(pools, Pool{
			Key:       service + "/" + zone + "/" + strconv.Itoa(i),
			Service:   service,
			Zone:      zone,
			Upstreams: upstreams[from:to],
		})
	}
	return pools
}
