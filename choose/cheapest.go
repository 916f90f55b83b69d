package choose

import (
	"math"
	"time"

	"dandeliondoor/costs"
)

const (
	// zoneRoundTrip is the time to another zone and back, which is up to 2 ms, and
	// zoneRoundTrips how many a response takes: for the connection, the request and, at 90 KB
	// with an initial window of 15 KB, two more for the rest.
	zoneRoundTrip  = 2 * time.Millisecond
	zoneRoundTrips = 4
	// zoneTime is what a response from another zone takes longer.
	zoneTime = zoneRoundTrips * zoneRoundTrip
	// paceError is the standard error of the difference of two servers' learned speeds,
	// relative to a duration: each is the mean of up to paceMemory durations whose
	// logarithm has a standard deviation of 0.8. A server of another zone that is expected to
	// be faster by less may not be, while the time between zones is certain.
	paceError = math.Sqrt2 * paceSigma / paceMemoryRoot
	paceSigma = 0.8
	// paceMemoryRoot is the square root of paceMemory.
	paceMemoryRoot = 7.746
)

// startQuantiles are multiples of the expected wait that stand for its distribution,
// which is taken as exponential: three equally likely thirds.
var startQuantiles = [3]float64{0.2, 0.7, 2.1}

// cheapest returns the server with the lowest expected loss of credit, or nil if all are
// full or the slots that are left are reserved from heavy requests.
func (p *Pool) cheapest(now time.Time, ask Ask, candidates []*server) *server {
	if p.placement.heavy && !p.admitsHeavy(now, candidates) {
		return nil
	}
	c := newComparison(p.placement, ask)
	// A server without attempts is full by its own report only, which costs a wait but
	// does not exclude it: otherwise no response would show whether the report is true.
	// Where asks wait for room, it does exclude it, as the report counts for 0.3 s only.
	var best *server
	lowest := math.Inf(1)
	for _, s := range candidates {
		b := p.backlogOf(now, s)
		if b.load >= p.maxLoad(s) && (p.limited || s.counted() > 0) {
			continue
		}
		cost := b.fails + p.random.Float64()*warmConnectionGain + c.preference(now, s)
		if cost >= lowest {
			continue
		}
		if cost += c.lateness(b, lowest-cost); cost < lowest {
			best, lowest = s, cost
		}
	}
	return best
}

// admitsHeavy reports whether a heavy request may take a slot. While requests of both
// kinds compete for slots, a share of them is reserved from heavy ones.
func (p *Pool) admitsHeavy(now time.Time, candidates []*server) bool {
	light := p.placement.mix.lightShare()
	if light < minLightShare {
		return true
	}
	load, slots, heavy := 0, 0, 0
	for _, s := range candidates {
		b := p.backlogOf(now, s)
		load += b.load
		heavy += b.heavy
		slots += s.Slots
	}
	if float64(load) < contendedShare*float64(slots) {
		return true
	}
	return float64(heavy) < (1-reservedFactor*light)*float64(slots)
}

// comparison compares the servers for one ask. The logarithms are those of its objective
// and of the time left, in seconds, and minus infinity without one. Objective and mean are in seconds.
type comparison struct {
	placement    *placement
	ask          Ask
	estimate     costs.Estimate
	logObjective float64
	logLeft      float64
	objective    float64
	mean         float64
}

func newComparison(p *placement, ask Ask) *comparison {
	return &comparison{
		placement: p, ask: ask, estimate: p.estimate, objective: ask.Objective.Seconds(), mean: p.mean.Seconds(),
		logObjective: math.Log(max(ask.Objective.Seconds(), 0)), logLeft: math.Log(max(ask.Left.Seconds(), 0)),
	}
}

// preference returns the part of the cost that does not depend on durations.
func (c *comparison) preference(now time.Time, s *server) float64 {
	cost := 0.0
	if now.Before(s.pausedUntil) {
		cost += lateCost
	}
	if s.Zone != c.ask.Zone {
		cost += c.zoneCost()
	}
	if s.lastDaemon != c.ask.Daemon {
		cost += warmConnectionGain
	}
	b := &s.backlog
	if c.placement.heavy {
		cost += heavyCost * b.busy
	}
	if c.objective > 0 {
		cost += workCost * min(b.workPerSlot/c.objective, 1)
		cost += timeCost * min((b.start.Seconds()+c.mean*b.factor)/c.objective, 1)
	}
	return cost
}

// zoneCost returns the cost of a server of another zone: that of the time which the caller
// may lose there.
func (c *comparison) zoneCost() float64 {
	if c.objective <= 0 {
		return crossZoneCost
	}
	return timeCost * min((zoneTime.Seconds()+paceError*c.mean)/c.objective, 1)
}

// lateness returns the expected loss from a late response or from none before the
// deadline. It may stop at a bound from which on the server is not selected.
func (c *comparison) lateness(b *backlog, bound float64) float64 {
	if b.start <= 0 {
		return c.loss(b, c.logObjective, c.logLeft)
	}
	total := 0.0
	for _, quantile := range startQuantiles {
		wait := scale(b.start, quantile)
		logObjective := math.Log(max((c.ask.Objective - wait).Seconds(), 0))
		logLeft := math.Log(max((c.ask.Left - wait).Seconds(), 0))
		total += c.loss(b, logObjective, logLeft) / float64(len(startQuantiles))
		if total >= bound {
			break
		}
	}
	return total
}

// loss returns the expected loss for given times until the objective and the deadline.
func (c *comparison) loss(b *backlog, logObjective, logLeft float64) float64 {
	const deadlineCost = 1 - lateCost
	usual := lateCost*c.exceeds(c.ask.Objective, logObjective, b.logFactor) + deadlineCost*c.exceeds(c.ask.Left, logLeft, b.logFactor)
	slow := lateCost*c.exceeds(c.ask.Objective, logObjective, b.logFactor+logSpellFactor) +
		deadlineCost*c.exceeds(c.ask.Left, logLeft, b.logFactor+logSpellFactor)
	return usual + b.spell*(slow-usual)
}

// exceeds returns the probability that the request runs longer than a limit, 0 if there
// is none.
func (c *comparison) exceeds(limit time.Duration, logLimit, logFactor float64) float64 {
	if limit <= 0 {
		return 0
	}
	return c.estimate.ExceedsLog(logLimit, logFactor)
}
