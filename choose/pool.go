package choose

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dandeliondoor/costs"
	"dandeliondoor/crash"
	"dandeliondoor/topo"
)

// Parameters of server selection. The cost of a server is the expected loss of
// credit, as a share of the request's credit.
const (
	// lateCost is the share of the credit that a late response loses.
	lateCost = 0.5
	// crossZoneCost makes the daemon's own zone preferred among servers that are
	// otherwise equal.
	crossZoneCost = 0.015
	// warmConnectionGain makes a server preferred that the same daemon used last,
	// since that daemon likely has an open connection to it.
	warmConnectionGain = 0.004
	// maxLoadFactor is the number of requests, as a multiple of its slots, at
	// which a server is considered full.
	maxLoadFactor = 3
	// attemptExpiryMargin is how long after its deadline an attempt is dropped if
	// its release was never received.
	attemptExpiryMargin = 500 * time.Millisecond
	// initialMeanDuration is assumed for a route until its first request ends.
	initialMeanDuration  = 200 * time.Millisecond
	meanDurationWeight   = 0.05
	unhealthyShareWeight = 0.02
	minUnhealthyShare    = 0.05
	maxUnhealthyShare    = 0.5
	// hedgeDelayFactor is how many times its mean duration a request may take
	// before it is hedged on a second server.
	hedgeDelayFactor = 3
	// probeBudgetReserve is the share of the budget's slack below which no probes
	// are sent.
	probeBudgetReserve = 0.5
	// probeThreshold is the probability of being unhealthy from which a server is
	// worth probing with requests that can be retried.
	probeThreshold = 0.08
	// trustedCapacityFactor is the desired ratio of the slots of trusted servers
	// to the current load. Below it, further servers are probed.
	trustedCapacityFactor = 1.6
	// probeIdleTime is how long an untrusted server may be idle before the next
	// retryable request is sent to it.
	probeIdleTime = 2500 * time.Millisecond
)

// Pool selects among the servers of one service. It is not safe for concurrent use.
type Pool struct {
	servers        map[string]*server
	sorted         []*server
	meanDurations  map[string]time.Duration
	unhealthyShare float64
	budget         *RetryBudget
	random         *rand.Rand
	asks           askCount
	limited        bool
	placement      *placement
}

// Option configures a Pool.
type Option func(*Pool)

// WithCosts makes the pool select servers by what their requests are estimated to cost,
// and learn from the outcomes.
func WithCosts(model *costs.Model) Option {
	return func(p *Pool) { p.placement = newPlacement(model) }
}

// NewPool returns a pool without servers; seed makes its random choices
// reproducible.
func NewPool(now time.Time, seed uint64, limits RetryLimits, options ...Option) *Pool {
	p := &Pool{
		servers:        make(map[string]*server),
		meanDurations:  make(map[string]time.Duration),
		unhealthyShare: initialUnhealthyShare,
		budget:         NewRetryBudget(now, limits),
		random:         rand.New(rand.NewPCG(seed, seed)),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// SetLimits replaces the retry limits.
func (p *Pool) SetLimits(limits RetryLimits) { p.budget.limits = limits }

// Adopt takes over what another pool of the service knows of its servers, and a share
// of its retry budget. The other pool may still release its attempts, but must not
// choose any more. SetServers must be called afterwards.
func (p *Pool) Adopt(now time.Time, other *Pool, budgetShare float64) {
	maps.Copy(p.servers, other.servers)
	maps.Copy(p.meanDurations, other.meanDurations)
	p.unhealthyShare = other.unhealthyShare
	p.budget.Adopt(now, other.budget, budgetShare)
	if p.placement != nil && other.placement != nil {
		p.placement = other.placement.share()
	}
}

// SetServers replaces the servers of the service. What is known of a server is
// discarded if it restarted or changed its address.
func (p *Pool) SetServers(now time.Time, records []topo.Server) {
	kept := make(map[string]*server, len(records))
	p.sorted = p.sorted[:0]
	for _, record := range records {
		known, found := p.servers[record.ID]
		if found && known.Born == record.Born && known.Address == record.Address {
			known.Server = record
		} else {
			known = newServer(now, record, p.unhealthyShare)
		}
		kept[record.ID] = known
		p.sorted = append(p.sorted, known)
	}
	p.servers = kept
	slices.SortFunc(p.sorted, func(a, b *server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// Choose selects the server for an attempt.
func (p *Pool) Choose(now time.Time, ask Ask) Decision {
	p.asks.record(now)
	if ask.Repeat && !p.takeRetry(now, ask) {
		return Refused{Reason: ReasonBudget}
	}
	p.placement.prepare(now, ask)
	best := p.selectServer(now, ask)
	if best == nil {
		if ask.Repeat {
			p.refundRetry(now, ask)
		}
		return p.refusal(now, ask)
	}
	if !ask.Repeat {
		p.budget.RecordRequest(now)
	}
	probe := ask.Probe && best.health.probability(now, p.unhealthyShare) > probeThreshold
	if probe {
		p.budget.record(now, UseProbe, 1)
	}
	best.attempts = append(best.attempts, attempt{
		daemon:    ask.Daemon,
		ticket:    ask.Ticket,
		route:     ask.Route,
		startedAt: now,
		expiresAt: now.Add(ask.Left + attemptExpiryMargin),
		probe:     probe,
		identity:  ask.Identity,
		cost:      p.begin(now, best),
	})
	best.lastAssignedAt, best.lastDaemon = now, ask.Daemon
	return Granted{Server: best.ID, Born: best.Born, Patience: p.usefulDelay(ask, p.hedgeDelay(now, ask, best))}
}

// usefulDelay bounds a hedge delay where asks wait for room, since a server then gets
// requests because it has room although it is slow. A hedge on a server of typical speed must
// still have time for its response, but is not sent before one would be if the first server
// were such a one.
func (p *Pool) usefulDelay(ask Ask, delay time.Duration) time.Duration {
	if !p.limited || ask.Left <= 0 {
		return delay
	}
	mean := p.meanDuration(ask.Route)
	latest := ask.Left - time.Duration(returnMargin*float64(mean))
	return min(delay, max(latest, hedgeDelayFactor*mean))
}

// hedgeDelay returns how long to wait for a response before hedging. After that, it
// is more likely that the response is lost than that the request takes long.
func (p *Pool) hedgeDelay(now time.Time, ask Ask, s *server) time.Duration {
	if p.placement != nil {
		return p.placement.hedgeDelay(s)
	}
	mean := float64(p.meanDuration(ask.Route)) * s.expectedDurationFactor(now)
	queued := max(s.load(now)-s.Slots, 0)
	return time.Duration(mean * (hedgeDelayFactor + float64(queued)/float64(s.Slots)))
}

// selectServer returns the server for an attempt, or nil if all are excluded or
// full. Idle servers and probe targets come before the server of lowest cost.
func (p *Pool) selectServer(now time.Time, ask Ask) *server {
	var candidates []*server
	for _, s := range p.sorted {
		s.expire(now)
		if s.usable(ask) {
			candidates = append(candidates, s)
		}
	}
	if s := p.idleServer(now, ask, candidates); s != nil {
		return s
	}
	if ask.Probe && !ask.Repeat {
		if s := p.probeTarget(now, ask, candidates); s != nil {
			return s
		}
	}
	if p.placement != nil {
		return p.cheapest(now, ask, candidates)
	}
	var best *server
	lowest := 0.0
	for _, s := range candidates {
		if s.load(now) >= p.maxLoad(s) {
			continue
		}
		cost := p.cost(now, ask, s)
		if best == nil || cost < lowest {
			best, lowest = s, cost
		}
	}
	return best
}

// cost returns the expected loss of credit if the attempt is sent to a server.
func (p *Pool) cost(now time.Time, ask Ask, s *server) float64 {
	unhealthy := p.unhealthyProb(now, s)
	fails := healthyFailureProb + (unhealthyFailureProb-healthyFailureProb)*unhealthy
	fails += (1 - fails) * s.tally.rate(now, p.overdueCount(now, s))
	mean := time.Duration(float64(p.meanDuration(ask.Route)) * s.expectedDurationFactor(now))
	queued := max(s.load(now)+1-s.Slots, 0)
	wait := time.Duration(float64(mean) * float64(queued) / float64(s.Slots))
	late := lateProb(wait+mean, ask.Objective)
	if ask.Left > 0 && wait+mean > ask.Left {
		// A request that misses its deadline loses all of its credit.
		late = 1 / lateCost
	}
	cost := fails + lateCost*late + p.random.Float64()*warmConnectionGain
	if now.Before(s.pausedUntil) {
		cost += lateCost
	}
	if s.Zone != ask.Zone {
		cost += crossZoneCost
	}
	if s.lastDaemon != ask.Daemon {
		cost += warmConnectionGain
	}
	return cost
}

// lateProb estimates the probability that a request of the expected duration
// misses its objective. It grows quadratically with the duration, and faster once
// that passes about 0.6 of the objective.
func lateProb(expected, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	ratio := expected.Seconds() / objective.Seconds()
	return min(max(ratio/2, (ratio-0.4)*1.6, 0)*ratio, 1)
}

// unhealthyProb returns the probability that a server is unhealthy, from its
// outcomes and the overdue attempts that started after its last response.
func (p *Pool) unhealthyProb(now time.Time, s *server) float64 {
	unhealthy := s.health.probability(now, p.unhealthyShare)
	for _, a := range s.attempts {
		if a.startedAt.After(s.lastResponseAt) && p.isOverdue(now, s, a) {
			unhealthy = posterior(unhealthy, unhealthyOverdueProb, healthyOverdueProb)
		}
	}
	return unhealthy
}

// overdueCount returns how many attempts of a server are overdue.
func (p *Pool) overdueCount(now time.Time, s *server) int {
	count := 0
	for _, a := range s.attempts {
		if p.isOverdue(now, s, a) {
			count++
		}
	}
	return count
}

func (p *Pool) isOverdue(now time.Time, s *server, a attempt) bool {
	if a.lost {
		// Its release would not have arrived.
		return false
	}
	if p.placement != nil {
		return a.cost.isOverdue(now)
	}
	return now.Sub(a.startedAt) > time.Duration(overdueFactor*float64(p.meanDuration(a.route))*s.expectedDurationFactor(now))
}

// probeTarget returns an untrusted server that a retryable request should probe,
// or nil.
func (p *Pool) probeTarget(now time.Time, ask Ask, candidates []*server) *server {
	if p.budget.Remaining(now) < probeBudgetReserve*p.budget.limits.Slack || p.spare(now, UseProbe) < 0 || ask.Left < ask.Objective/2 {
		return nil
	}
	load, trusted := 0, 0
	var target *server
	for _, s := range candidates {
		load += s.load(now)
		unhealthy := p.unhealthyProb(now, s)
		if unhealthy < probeThreshold {
			trusted += s.Slots
			continue
		}
		if s.probing() || now.Before(s.pausedUntil) || s.load(now) >= s.Slots {
			continue
		}
		if target == nil || p.probeRank(now, s, ask) < p.probeRank(now, target, ask) {
			target = s
		}
	}
	if target == nil {
		return nil
	}
	scarce := float64(trusted) < trustedCapacityFactor*float64(load+1)
	if scarce || now.Sub(target.lastAssignedAt) > probeIdleTime {
		return target
	}
	return nil
}

// probeRank orders servers for probes; the lowest rank, the server most likely
// healthy, is probed first.
func (p *Pool) probeRank(now time.Time, s *server, ask Ask) float64 {
	rank := p.unhealthyProb(now, s)
	if s.Zone != ask.Zone {
		rank += crossZoneCost
	}
	return rank
}

func (p *Pool) meanDuration(route string) time.Duration {
	if mean, known := p.meanDurations[route]; known {
		return mean
	}
	return initialMeanDuration
}

// refusal returns why no server was selected: none is usable, or all are full.
func (p *Pool) refusal(now time.Time, ask Ask) Decision {
	lowest := time.Duration(0)
	for _, s := range p.sorted {
		if !s.usable(ask) {
			continue
		}
		wait := time.Duration(float64(p.meanDuration(ask.Route)) * float64(max(s.load(now)-s.Slots, 1)) / float64(s.Slots))
		if lowest == 0 || wait < lowest {
			lowest = wait
		}
	}
	if lowest == 0 {
		return Refused{Reason: ReasonNoServer}
	}
	return Refused{Reason: ReasonOverload, RetryAfter: lowest}
}

// InFlight returns the number of attempts of requests with a fingerprint that have not
// been released.
func (p *Pool) InFlight(now time.Time, fingerprint crash.Fingerprint) int {
	count := 0
	for _, s := range p.sorted {
		for _, a := range s.attempts {
			if (a.identity.Caller == fingerprint || a.identity.Content == fingerprint) && now.Before(a.expiresAt) {
				count++
			}
		}
	}
	return count
}

// Release ends an attempt and updates the pool with its outcome.
func (p *Pool) Release(now time.Time, release Release) {
	s, known := p.servers[release.Server]
	if !known {
		return
	}
	ended, found := s.removeAttempt(release.Daemon, release.Ticket)
	s.updateLoad(now, release.Running, release.Waiting)
	if p.placement != nil {
		p.placement.end(now, s, release, ended, found)
	}
	s.leaving = s.leaving || (release.Leaving && release.Born == s.Born)
	p.recordOutcome(now, s, release, ended.route, found)
}

func (p *Pool) recordOutcome(now time.Time, s *server, release Release, route string, found bool) {
	switch release.Outcome {
	case Served:
		s.health.observe(now, p.unhealthyShare, 1-unhealthyFailureProb, 1-healthyFailureProb)
		s.lastResponseAt = now
		s.tally.record(now, false)
		p.updateDurations(s, release.Duration, route, found)
	case Failed:
		s.health.observe(now, p.unhealthyShare, unhealthyFailureProb, healthyFailureProb)
		s.lastResponseAt = now
		s.tally.record(now, true)
	case ConnectionLost:
		s.health.observe(now, p.unhealthyShare, unhealthyFailureProb, healthyFailureProb)
		s.tally.record(now, true)
	case TimedOut:
		if release.Duration > time.Duration(overdueFactor*float64(p.meanDuration(route))) {
			s.health.observe(now, p.unhealthyShare, unhealthyFailureProb, healthyOverdueProb)
			s.tally.record(now, true)
		}
	case Unreachable:
		s.health.observe(now, p.unhealthyShare, unhealthyUnreachableProb, healthyUnreachableProb)
	case Misdirected:
		s.health.observe(now, p.unhealthyShare, unhealthyFailureProb, minUnhealthyProb)
		s.pausedUntil = now.Add(misdirectedPause)
	case Shed:
		if s.load(now) < s.Slots {
			s.health.observe(now, p.unhealthyShare, unhealthyFailureProb, healthyShedProb)
		}
		s.pausedUntil = now.Add(shedPause)
	case Cancelled:
	}
	p.updateUnhealthyShare(now, release.Outcome)
}

// Likelihoods of events that the server need not have caused: a network path that
// fails from one daemon only, and a queue that other clients filled.
const (
	unhealthyUnreachableProb = 0.9
	healthyUnreachableProb   = 0.1
	healthyShedProb          = 0.2
	// misdirectedPause is how long a server is avoided after another server
	// responded at its address.
	misdirectedPause = time.Second
)

// updateDurations updates the mean duration of the route and the server's
// duration factor.
func (p *Pool) updateDurations(s *server, duration time.Duration, route string, found bool) {
	if !found || duration <= 0 {
		return
	}
	mean := p.meanDuration(route)
	s.updateDurationFactor(duration.Seconds() / mean.Seconds())
	p.meanDurations[route] = mean + time.Duration(meanDurationWeight*float64(duration-mean))
}

// updateUnhealthyShare updates the share of unhealthy servers, which is the
// estimate for a server without outcomes.
func (p *Pool) updateUnhealthyShare(now time.Time, outcome Outcome) {
	if outcome == Cancelled || len(p.sorted) == 0 {
		return
	}
	total := 0.0
	for _, s := range p.sorted {
		total += s.health.probability(now, p.unhealthyShare)
	}
	mean := total / float64(len(p.sorted))
	p.unhealthyShare = min(max(p.unhealthyShare+unhealthyShareWeight*(mean-p.unhealthyShare), minUnhealthyShare), maxUnhealthyShare)
}
