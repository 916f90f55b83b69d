package simul

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// queueFactor is how many requests a server queues, as a multiple of its slots.
	queueFactor = 2
	// workSpread and speedSpread are the standard deviations of the logarithms of
	// a request's duration and of a server's speed.
	workSpread  = 0.4
	speedSpread = 0.15
	// fastFailureShare is the share of failures that end before a twentieth of the
	// work is done; the others take as long as a success.
	fastFailureShare = 0.5
)

// server is a simulated server. It runs up to slots attempts and queues some more.
// The ends of its unhealthy and healthy periods alternate in turns.
type server struct {
	id        string
	slots     int
	speed     float64
	random    *rand.Rand
	health    Health
	unhealthy bool
	changesAt time.Duration
	running   int
	queue     []*attempt
	arrivals  []time.Duration
	failures  []time.Duration
}

func newServer(id string, load *Load, random *rand.Rand) *server {
	s := &server{
		id: id, slots: load.Slots, health: load.Health, random: random,
		speed: math.Exp(speedSpread * random.NormFloat64()),
	}
	s.unhealthy = random.Float64() < s.health.UnhealthyShare
	s.changesAt = s.periodLength()
	return s
}

// periodLength draws the length of the current period.
func (s *server) periodLength() time.Duration {
	mean := s.health.Period.Seconds()
	if !s.unhealthy {
		mean *= (1 - s.health.UnhealthyShare) / max(s.health.UnhealthyShare, math.SmallestNonzeroFloat32)
	}
	return seconds(mean * s.random.ExpFloat64())
}

// advance moves the server's health to a time.
func (s *server) advance(at time.Duration) {
	for s.health.UnhealthyShare > 0 && s.changesAt <= at {
		s.unhealthy = !s.unhealthy
		s.changesAt += s.periodLength()
	}
}

// full reports whether the server rejects a further request.
func (s *server) full() bool {
	return s.running >= s.slots && len(s.queue) >= queueFactor*s.slots
}

// run draws whether an attempt that starts now fails, and how long it takes.
func (s *server) run(at, work time.Duration) (failed bool, duration time.Duration) {
	s.advance(at)
	probability := s.health.HealthyFailures
	if s.unhealthy {
		probability = s.health.UnhealthyFailures
	}
	factor := s.speed * math.Exp(workSpread*s.random.NormFloat64()-workSpread*workSpread/2)
	failed = s.random.Float64() < probability
	if failed && s.random.Float64() < fastFailureShare {
		const fastest = 0.05
		factor *= fastest
	}
	return failed, seconds(work.Seconds() * factor)
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
