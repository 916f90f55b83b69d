package topo

import (
	"time"
)

// Config is one version of the routes and limits; it is never changed after
// NewTable has read it.
type Config struct {
	Version uint64
	Routes  []Route
	Limits  Limits
}

// Route says where the requests of a host and path prefix go and how they may be
// treated. Prefix begins and ends with a slash. Timeout bounds the time until
// the final answer, Objective is the time for full credit, Attempts the servers
// that one request may be sent to, and Priority its rank, 0 the highest.
type Route struct {
	Name       string
	Host       string
	Prefix     string
	Idempotent bool
	Timeout    time.Duration
	Objective  time.Duration
	Attempts   int
	Priority   int
	Targets    []Target
}

// Target is one service of a route and the weight of its share.
type Target struct {
	Service string
	Weight  float64
}

// Limits bound what a caller may send and how long it may take or stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Pick returns the service whose share of the weights holds the draw, a number
// from 0 up to 1.
func (r *Route) Pick(draw float64) string {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	at := draw * total
	for _, target := range r.Targets {
		if at < target.Weight {
			return target.Service
		}
		at -= target.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
