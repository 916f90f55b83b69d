package topo

import (
	"time"
)

// Config is one version of the routes, client accounts and limits. It must not be
// modified after it has been passed to NewRouteTable.
type Config struct {
	Version  uint64
	Routes   []Route
	Accounts []Account
	Limits   Limits
}

// Route maps requests by host and path prefix to services and sets how they are
// handled. Prefix begins and ends with a slash. Timeout is the limit for the
// final response, Objective the response time up to which a request gets full
// credit, Attempts the maximum number of servers that a request is sent to, and
// Priority the priority of its requests, where 0 is the highest. A Public route needs no
// API key, and the responses of a Download route are large.
type Route struct {
	Name       string
	Host       string
	Prefix     string
	Idempotent bool
	Timeout    time.Duration
	Objective  time.Duration
	Attempts   int
	Priority   int
	Public     bool
	Download   bool
	Targets    []Target
}

// Target is one service of a route and its weight in the traffic split.
type Target struct {
	Service string
	Weight  float64
}

// Limits bounds the size of a caller's requests, the time to send their headers
// and the idle time of its connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Pick selects a target by weight and returns its service. Fraction is the
// position in the cumulative weights, in [0, 1); callers pass a random number.
func (r *Route) Pick(fraction float64) string {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	position := fraction * total
	for _, target := range r.Targets {
		if position < target.Weight {
			return target.Service
		}
		position -= target.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
