package choose

import (
	"math"
	"time"
)

// backlog is what a server still has to do, as of a time. Start is the expected wait of a
// further request: knownStart for the attempts of this pool alone, reportedStart with
// all that the server reports, and start with as much of that as is trusted. Work is the
// time that its attempts still run in total, and load their number. Fails is the
// probability that a request fails, and spell that the server is slow now, both with the
// attempts that run. LogFactor is the logarithm of the lasting factor of its durations, and
// factor the expected one. Busy is the load per slot, at most 1, and workPerSlot the work
// per slot in seconds. Distrust lasts: it is 1 less the weight of the server's reports.
type backlog struct {
	at            time.Time
	stale         bool
	start         time.Duration
	knownStart    time.Duration
	reportedStart time.Duration
	work          time.Duration
	load          int
	heavy         int
	fails         float64
	spell         float64
	logFactor     float64
	factor        float64
	busy          float64
	workPerSlot   float64
	distrust      float64
}

// trust returns the weight of the server's reports, from 0 to 1.
func (b *backlog) trust() float64 { return 1 - b.distrust }

// backlogOf returns the backlog of a server, which is computed again only after a change
// or after backlogAge.
func (p *Pool) backlogOf(now time.Time, s *server) *backlog {
	b := &s.backlog
	if !b.stale && !b.at.IsZero() && now.Sub(b.at) < backlogAge {
		return b
	}
	b.at, b.stale, b.load = now, false, s.load(now)
	unhealthy := p.unhealthyProb(now, s)
	b.fails = healthyFailureProb + (unhealthyFailureProb-healthyFailureProb)*unhealthy
	b.fails += (1 - b.fails) * s.tally.rate(now, p.overdueCount(now, s))
	b.spell = s.spell(now)
	b.logFactor = s.pace.lasting()
	if now.Before(s.ColdUntil) {
		b.logFactor = max(b.logFactor, math.Log(coldDurationFactor))
	}
	b.factor = math.Exp(b.logFactor) * (1 + b.spell*(spellFactor-1))
	var line waitLine
	b.heavy = 0
	counted := s.counted()
	for i := range s.attempts {
		cost := s.attempts[i].cost
		if cost == nil || s.attempts[i].lost {
			continue
		}
		if cost.heavy {
			b.heavy++
		}
		line.add(s.Slots, cost.estimate.Scaled(b.factor).Remaining(cost.ran(now)))
	}
	b.knownStart = line.start(s.Slots)
	reported := line
	for range b.load - counted {
		reported.add(s.Slots, scale(p.placement.mix.meanWork(), b.factor))
	}
	b.reportedStart = reported.start(s.Slots)
	b.start = b.knownStart + scale(b.reportedStart-b.knownStart, b.trust())
	b.load = counted + int(math.Round(float64(b.load-counted)*b.trust()))
	b.work = line.work + scale(reported.work-line.work, b.trust())
	b.busy = min(float64(b.load)/float64(s.Slots), 1)
	b.workPerSlot = b.work.Seconds() / float64(s.Slots)
	return b
}

// spell returns the probability that the server is in a spell: what its responses tell,
// and how long its attempts have run by now.
func (s *server) spell(now time.Time) float64 {
	const least = 0.002
	spell := s.pace.inSpell(now)
	lasting := s.pace.lasting()
	for i := range s.attempts {
		cost := s.attempts[i].cost
		if cost == nil || s.attempts[i].lost {
			continue
		}
		ran := cost.ran(now)
		if ran <= 0 {
			continue
		}
		logRan := math.Log(ran.Seconds())
		inSpell, outside := cost.estimate.ExceedsLog(logRan, lasting+logSpellFactor), cost.estimate.ExceedsLog(logRan, lasting)
		spell = spellPosterior(spell, inSpell+least, outside+least)
	}
	return spell
}

// waitLine accumulates the remaining times of the requests on a server, in the order in
// which they run: the number that run, the sum of the reciprocals of their remaining
// seconds, the work of those that wait, and all work.
type waitLine struct {
	running int
	rate    float64
	waiting time.Duration
	work    time.Duration
}

// add adds a request that runs if a slot is left, and waits otherwise.
func (l *waitLine) add(slots int, remaining time.Duration) {
	l.work += remaining
	if l.running < slots {
		l.running++
		l.rate += 1 / max(remaining.Seconds(), minRemaining.Seconds())
		return
	}
	l.waiting += remaining
}

// minRemaining bounds the remaining time of a request from below.
const minRemaining = time.Millisecond

// start returns the expected time until a further request runs. The first of several
// requests ends after the reciprocal of the sum of their rates, which is exact if the
// remaining times are distributed exponentially. A request that holds its slot for long
// counts only a little in both terms.
func (l *waitLine) start(slots int) time.Duration {
	if l.running < slots {
		return 0
	}
	first := time.Duration(float64(time.Second) / l.rate)
	if l.waiting == 0 {
		return first
	}
	return first + time.Duration(float64(l.waiting)/float64(slots))
}
