package choose

import (
	"math/rand/v2"
	"slices"
	"time"

	"dandeliondoor/topo"
)

// The weights of a choice. A server's cost is the expected loss of credit, as a
// share of that of the request.
const (
	// lateWeight is the part of the credit that a late answer loses.
	lateWeight = 0.5
	// farCost prefers the daemon's own zone when servers are otherwise alike.
	farCost = 0.015
	// warmGain prefers a server that the daemon used last, whose connection is
	// likely open.
	warmGain = 0.004
	// queueFactor bounds the requests that are given to a server, as a multiple
	// of its slots, before it is considered full.
	queueFactor = 3
	// expiryMargin is how long after its deadline an attempt without a report is
	// forgotten.
	expiryMargin = 500 * time.Millisecond
	// initialMean is the duration of requests of a route that is not known yet.
	initialMean = 200 * time.Millisecond
	meanWeight  = 0.05
	shareWeight = 0.02
	minShare    = 0.05
	maxShare    = 0.5
	// patienceFactor is how many times its mean duration a request may take
	// before a second server is tried.
	patienceFactor = 3
	// probeReserve is the part of the budget that is kept from probes.
	probeReserve = 0.5
	// unsureBad is the probability of being bad from which a server is worth
	// learning about by work that can be repeated.
	unsureBad = 0.08
	// spareFactor is how many times the busy slots the slots of trusted servers
	// should be.
	spareFactor = 1.6
	// freshProbe is how long a server may go without work before the next
	// repeatable request goes there.
	freshProbe = 2500 * time.Millisecond
)

// Pool decides for the servers of one service.
type Pool struct {
	servers map[string]*server
	order   []*server
	means   map[string]time.Duration
	share   float64
	budget  *Budget
	random  *rand.Rand
	failing failureRate
	crashes crashes
}

// NewPool returns a pool without servers.
func NewPool(now time.Time, seed uint64, limits RetryLimits) *Pool {
	return &Pool{
		servers: make(map[string]*server),
		means:   make(map[string]time.Duration),
		share:   initialBad,
		budget:  NewBudget(now, limits),
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetLimits replaces the limits of second sends.
func (p *Pool) SetLimits(limits RetryLimits) { p.budget.limits = limits }

// SetServers replaces the servers of the service; one that started again begins
// anew.
func (p *Pool) SetServers(now time.Time, records []topo.Server) {
	kept := make(map[string]*server, len(records))
	p.order = p.order[:0]
	for _, record := range records {
		known, found := p.servers[record.ID]
		if found && known.Born == record.Born && known.Address == record.Address {
			known.Server = record
		} else {
			known = newServer(now, record, p.share)
		}
		kept[record.ID] = known
		p.order = append(p.order, known)
	}
	p.servers = kept
	slices.SortFunc(p.order, func(a, b *server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// Choose returns the server for an attempt.
func (p *Pool) Choose(now time.Time, ask Ask) Decision {
	if p.crashes.refuses(now, ask.Content) {
		return Refused{Reason: ReasonCrashes}
	}
	if ask.Repeat && !p.budget.Take(now) {
		return Refused{Reason: ReasonBudget}
	}
	best := p.pick(now, ask)
	if best == nil {
		if ask.Repeat {
			p.budget.Give(now)
		}
		return p.refusal(now, ask)
	}
	if !ask.Repeat {
		p.budget.Request(now)
	}
	probe := ask.Probe && best.belief.now(now, p.share) > unsureBad
	best.attempts = append(best.attempts, attempt{
		daemon:  ask.Daemon,
		ticket:  ask.Ticket,
		route:   ask.Route,
		since:   now,
		expires: now.Add(ask.Left + expiryMargin),
		probe:   probe,
		last:    !ask.Probe,
		content: ask.Content,
	})
	best.lastGiven, best.lastBy = now, ask.Daemon
	return Granted{Server: best.ID, Born: best.Born, Patience: p.patience(now, ask, best)}
}

// patience returns how long an answer may take until it is likelier that it
// never comes than that the request is a long one.
func (p *Pool) patience(now time.Time, ask Ask, s *server) time.Duration {
	mean := float64(p.mean(ask.Route)) * s.slowness(now)
	queued := max(s.busy(now)-s.Slots, 0)
	return time.Duration(mean * (patienceFactor + float64(queued)/float64(s.Slots)))
}

func (p *Pool) pick(now time.Time, ask Ask) *server {
	var candidates []*server
	for _, s := range p.order {
		s.expire(now)
		if !s.Draining && !slices.Contains(ask.Exclude, s.ID) {
			candidates = append(candidates, s)
		}
	}
	if s := p.neglected(now, ask, candidates); s != nil {
		return s
	}
	if ask.Probe && !ask.Repeat {
		if s := p.probeTarget(now, ask, candidates); s != nil {
			return s
		}
	}
	var best *server
	least := 0.0
	for _, s := range candidates {
		if s.busy(now) >= s.Slots*queueFactor {
			continue
		}
		cost := p.cost(now, ask, s)
		if best == nil || cost < least {
			best, least = s, cost
		}
	}
	return best
}

// cost returns the expected loss of giving an attempt to a server.
func (p *Pool) cost(now time.Time, ask Ask, s *server) float64 {
	bad := p.suspicion(now, s)
	fails := failSound + (failBad-failSound)*bad
	fails += (1 - fails) * s.tally.rate(now, p.overdue(now, s))
	mean := time.Duration(float64(p.mean(ask.Route)) * s.slowness(now))
	queued := max(s.busy(now)+1-s.Slots, 0)
	wait := time.Duration(float64(mean) * float64(queued) / float64(s.Slots))
	late := lateness(wait+mean, ask.Objective)
	if ask.Left > 0 && wait+mean > ask.Left {
		late = 1 / lateWeight
	}
	cost := fails + lateWeight*late + p.random.Float64()*warmGain
	if now.Before(s.pausedTill) {
		cost += lateWeight
	}
	if s.Zone != ask.Zone {
		cost += farCost
	}
	if s.lastBy != ask.Daemon {
		cost += warmGain
	}
	return cost
}

// lateness estimates from the expected duration the probability that a request
// misses its objective: it rises from a half of the objective on.
func lateness(expected, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	ratio := expected.Seconds() / objective.Seconds()
	return min(max(ratio/2, (ratio-0.4)*1.6, 0)*ratio, 1)
}

// suspicion returns the probability that a server is bad, by its outcomes and by
// attempts that should have ended.
func (p *Pool) suspicion(now time.Time, s *server) float64 {
	bad := s.belief.now(now, p.share)
	for _, a := range s.attempts {
		if a.since.After(s.lastSeen) && p.isOverdue(now, s, a) {
			bad = posterior(bad, overdueBad, overdueSound)
		}
	}
	return bad
}

// overdue returns how many attempts should have ended.
func (p *Pool) overdue(now time.Time, s *server) int {
	count := 0
	for _, a := range s.attempts {
		if p.isOverdue(now, s, a) {
			count++
		}
	}
	return count
}

func (p *Pool) isOverdue(now time.Time, s *server, a attempt) bool {
	return now.Sub(a.since) > time.Duration(overdueFactor*float64(p.mean(a.route))*s.slowness(now))
}

// probeTarget returns a server of which too little is known, if work that can
// be repeated elsewhere should find out about it.
func (p *Pool) probeTarget(now time.Time, ask Ask, candidates []*server) *server {
	if p.budget.Left(now) < probeReserve*p.budget.limits.Slack || ask.Left < ask.Objective/2 {
		return nil
	}
	busy, trusted := 0, 0
	var target *server
	for _, s := range candidates {
		busy += s.busy(now)
		bad := p.suspicion(now, s)
		if bad < unsureBad {
			trusted += s.Slots
			continue
		}
		if s.probing() || now.Before(s.pausedTill) || s.busy(now) >= s.Slots {
			continue
		}
		if target == nil || p.probeRank(now, s, ask) < p.probeRank(now, target, ask) {
			target = s
		}
	}
	if target == nil {
		return nil
	}
	scarce := float64(trusted) < spareFactor*float64(busy+1)
	if scarce || now.Sub(target.lastGiven) > freshProbe {
		return target
	}
	return nil
}

// probeRank orders servers for probes: those that are likelier sound first.
func (p *Pool) probeRank(now time.Time, s *server, ask Ask) float64 {
	rank := p.suspicion(now, s)
	if s.Zone != ask.Zone {
		rank += farCost
	}
	return rank
}

func (p *Pool) mean(route string) time.Duration {
	if mean, known := p.means[route]; known {
		return mean
	}
	return initialMean
}

// refusal tells why no server was found: none is there, or all are full.
func (p *Pool) refusal(now time.Time, ask Ask) Decision {
	least := time.Duration(0)
	for _, s := range p.order {
		if s.Draining || slices.Contains(ask.Exclude, s.ID) {
			continue
		}
		wait := time.Duration(float64(p.mean(ask.Route)) * float64(max(s.busy(now)-s.Slots, 1)) / float64(s.Slots))
		if least == 0 || wait < least {
			least = wait
		}
	}
	if least == 0 {
		return Refused{Reason: ReasonNoServer}
	}
	return Refused{Reason: ReasonOverload, RetryAfter: least}
}

// Release ends an attempt and takes what it shows of the server.
func (p *Pool) Release(now time.Time, release Release) {
	s, known := p.servers[release.Server]
	if !known {
		return
	}
	given, found := s.take(release.Daemon, release.Ticket)
	s.report(now, release.Running, release.Waiting)
	p.learn(now, s, release, given.route, found)
	p.failing.note(now, release.Outcome, given.last)
	p.crashes.note(now, given.content, release.Outcome)
}

func (p *Pool) learn(now time.Time, s *server, release Release, route string, found bool) {
	switch release.Outcome {
	case Served:
		s.belief.observe(now, p.share, 1-failBad, 1-failSound)
		s.lastSeen = now
		s.tally.note(now, false)
		p.learnDuration(s, release.Duration, route, found)
	case Failed:
		s.belief.observe(now, p.share, failBad, failSound)
		s.lastSeen = now
		s.tally.note(now, true)
	case ConnectionLost:
		s.belief.observe(now, p.share, failBad, failSound)
		s.tally.note(now, true)
	case TimedOut:
		if release.Duration > time.Duration(overdueFactor*float64(p.mean(route))) {
			s.belief.observe(now, p.share, failBad, overdueSound)
			s.tally.note(now, true)
		}
	case Unreachable:
		s.belief.observe(now, p.share, unreachableBad, unreachableSound)
	case Misdirected:
		s.belief.observe(now, p.share, failBad, minBad)
		s.pausedTill = now.Add(gonePause)
	case Shed:
		if s.busy(now) < s.Slots {
			s.belief.observe(now, p.share, failBad, shedSound)
		}
		s.pausedTill = now.Add(shedPause)
	case Cancelled:
	}
	p.learnShare(now, release.Outcome)
}

// The likelihoods of events that need not be the server's fault: a path that is
// cut from one daemon only, and a queue that others filled.
const (
	unreachableBad   = 0.9
	unreachableSound = 0.1
	shedSound        = 0.2
	// gonePause is how long a server is left alone whose address answered for
	// another one.
	gonePause = time.Second
)

// learnDuration updates the mean of the route and the speed of the server.
func (p *Pool) learnDuration(s *server, duration time.Duration, route string, found bool) {
	if !found || duration <= 0 {
		return
	}
	mean := p.mean(route)
	s.learnSpeed(duration.Seconds() / mean.Seconds())
	p.means[route] = mean + time.Duration(meanWeight*float64(duration-mean))
}

// learnShare updates the share of bad servers, which is what a server that
// nothing is known of is taken for.
func (p *Pool) learnShare(now time.Time, outcome Outcome) {
	if outcome == Cancelled || len(p.order) == 0 {
		return
	}
	total := 0.0
	for _, s := range p.order {
		total += s.belief.now(now, p.share)
	}
	mean := total / float64(len(p.order))
	p.share = min(max(p.share+shareWeight*(mean-p.share), minShare), maxShare)
}
