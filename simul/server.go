package simul

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// queueFactor is how many requests a server queues, as a multiple of its slots.
	queueFactor = 2
	// workSpread and speedSpread are the standard deviations of the logarithms of
	// a request's duration, unless its class gives another, and of a server's speed.
	workSpread  = 0.4
	speedSpread = 0.15
	// fastFailureShare is the share of failures that end before a twentieth of the
	// work is done; the others take as long as a success.
	fastFailureShare = 0.5
	// spellStream separates the random numbers of the unhealthy periods from those of
	// the requests, if these don't come from the server, so that each rule of placement
	// gets the same periods.
	spellStream = 0x7370656c6c
)

// server is a simulated server. It runs up to slots attempts and queues some more.
// The ends of its unhealthy and healthy periods alternate in turns.
type server struct {
	id        string
	index     int
	slots     int
	places    int
	speed     float64
	random    *rand.Rand
	spells    *rand.Rand
	health    Health
	unhealthy bool
	changesAt time.Duration
	running   int
	queue     []*attempt
	arrivals  []time.Duration
	failures  []time.Duration
	pauses    map[string][]*pauseRecord
}

// pauseRecord is a pause that a server has asked a daemon for, and how many requests of
// the daemon have reached it between pauseSlack after the rejection and the end.
type pauseRecord struct {
	from     time.Duration
	until    time.Duration
	requests int
}

// pauseSlack is the time after a rejection in which requests are under way already.
const pauseSlack = 500 * time.Millisecond

func newServer(id string, index int, load *Load, random *rand.Rand) *server {
	s := &server{
		id: id, index: index, slots: load.Slots, health: load.Health, random: random, pauses: make(map[string][]*pauseRecord),
		places: load.ServerQueue,
		speed:  math.Exp(load.SpeedSigma * random.NormFloat64()),
	}
	s.spells = s.random
	if slices.ContainsFunc(load.Classes, func(c Class) bool { return c.Sigma > 0 }) {
		s.spells = rand.New(rand.NewPCG(load.Seed, spellStream+uint64(index)))
	}
	if s.places == 0 {
		s.places = queueFactor * s.slots
	}
	s.unhealthy = s.spells.Float64() < s.health.UnhealthyShare
	s.changesAt = s.periodLength()
	return s
}

// periodLength draws the length of the current period.
func (s *server) periodLength() time.Duration {
	mean := s.health.Period.Seconds()
	if !s.unhealthy {
		mean *= (1 - s.health.UnhealthyShare) / max(s.health.UnhealthyShare, math.SmallestNonzeroFloat32)
	}
	return seconds(mean * s.spells.ExpFloat64())
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
	return s.running >= s.slots && len(s.queue) >= s.places
}

// arrive records a request of a daemon.
func (s *server) arrive(at time.Duration, daemon string) {
	s.arrivals = append(s.arrivals, at)
	for _, p := range s.pauses[daemon] {
		if at > p.from+pauseSlack && at < p.until {
			p.requests++
		}
	}
}

// reject records that the server asks a daemon for a pause.
func (s *server) reject(at time.Duration, daemon string, pause time.Duration) {
	s.pauses[daemon] = append(s.pauses[daemon], &pauseRecord{from: at, until: at + pause})
}

// run draws whether an attempt that starts now fails, and how long it takes.
// Drawn is the work of the request, 0 to draw it here around the given mean.
func (s *server) run(at, work, drawn time.Duration) (failed bool, duration time.Duration) {
	s.advance(at)
	probability := s.health.HealthyFailures
	if s.unhealthy {
		probability = s.health.UnhealthyFailures
	}
	factor := s.speed * math.Exp(workSpread*s.random.NormFloat64()-workSpread*workSpread/2)
	if drawn > 0 {
		work, factor = drawn, s.speed
	}
	failed = s.random.Float64() < probability
	if failed && s.random.Float64() < fastFailureShare {
		const fastest = 0.05
		factor *= fastest
	}
	return failed, seconds(work.Seconds() * factor)
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
