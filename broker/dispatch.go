package broker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dandeliondoor/crash"
	"dandeliondoor/health"
	"dandeliondoor/model"
	"dandeliondoor/rank"
)

// dispatch grants slots to queued asks as long as any of them can get one.
func (p *Pool) dispatch(now time.Time) []Action {
	actions := p.dispatchSuspect(now)
	for {
		granted, found := p.dispatchOne(now)
		if !found {
			return actions
		}
		actions = append(actions, granted)
	}
}

func (p *Pool) dispatchOne(now time.Time) (Action, bool) {
	for _, class := range p.classOrder() {
		if class == model.ClassLong && p.runningLong >= p.longLimit(now) {
			continue
		}
		queued := p.queues[class].next(p.accountRunning, p.accountWithinLimit)
		if queued == nil {
			continue
		}
		chosen := p.pickServer(now, queued)
		if chosen == nil {
			continue
		}
		p.queues[class].remove(queued.ask.ID)
		return p.grant(queued, chosen, false), true
	}
	return nil, false
}

// classOrder returns the classes in the order in which they are served: short
// requests first, unless long requests use less than their reserved share of the
// slots. With LongUnbounded, the class of the older ask comes first.
func (p *Pool) classOrder() [2]model.Class {
	if _, unbounded := p.longRule.(LongUnbounded); unbounded {
		return p.classOrderByAge()
	}
	reserved := max(1, p.totalSlots()/longReserveDivisor)
	if p.runningLong < reserved {
		return [2]model.Class{model.ClassLong, model.ClassShort}
	}
	return [2]model.Class{model.ClassShort, model.ClassLong}
}

func (p *Pool) classOrderByAge() [2]model.Class {
	all := func(string) bool { return true }
	short := p.queues[model.ClassShort].next(p.accountRunning, all)
	long := p.queues[model.ClassLong].next(p.accountRunning, all)
	if long != nil && (short == nil || isOlder(long, short)) {
		return [2]model.Class{model.ClassLong, model.ClassShort}
	}
	return [2]model.Class{model.ClassShort, model.ClassLong}
}

func (p *Pool) accountRunning(account string) int {
	return p.runningByAccount[account]
}

func (p *Pool) accountWithinLimit(account string) bool {
	limit, limited := p.accountLimits[account]
	return !limited || p.runningByAccount[account] < limit
}

// longLimit returns the maximum number of long requests that may run at once.
func (p *Pool) longLimit(now time.Time) int {
	total := p.totalSlots()
	maximum := max(1, total-1)
	switch rule := p.longRule.(type) {
	case LongByDemand:
		unusedByShort := math.Floor(float64(total) - shortDemandHeadroom*p.estimator.demand(now, model.ClassShort) - 1)
		demandShare := math.Ceil(float64(total) * p.estimator.longShare(now))
		minimum := max(1, total/longReserveDivisor)
		return min(maximum, max(minimum, int(unusedByShort), int(demandShare)))
	case LongFixed:
		return min(maximum, max(1, int(rule.Share*float64(total))))
	case LongUnbounded:
		return total
	default:
		return maximum
	}
}

func (p *Pool) totalSlots() int {
	slots := 0
	for _, s := range p.servers {
		if !s.leaving() && p.tracker.State(s.name) != health.Out {
			slots += s.slots
		}
	}
	return slots
}

// usableSlots returns the number of slots on upstreams that accept new requests,
// and how many of them are free.
func (p *Pool) usableSlots(now time.Time) (int, int) {
	slots, free := 0, 0
	for _, s := range p.servers {
		if !p.usable(now, s) {
			continue
		}
		slots += s.slots
		free += max(0, p.capacity(now, s)-s.running)
	}
	return slots, free
}

func (p *Pool) anyUsable(now time.Time) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool { return p.usable(now, s) })
}

// anyPaused reports whether a healthy upstream is unavailable only for a short time,
// because it has shed a request, runs a suspect or is reserved for one.
func (p *Pool) anyPaused(now time.Time) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		state := p.tracker.State(s.name)
		paused := s.isolated || s.reservedFor != nil || now.Before(s.pausedUntil)
		return paused && !s.leaving() && (state == health.Healthy || state == health.Cold)
	})
}

// anyCandidate reports whether the pool has an upstream that is neither leaving
// nor listed in avoid.
func (p *Pool) anyCandidate(avoid []string) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return !s.leaving() && !slices.Contains(avoid, s.name)
	})
}

func (p *Pool) usable(now time.Time, s *server) bool {
	if s.leaving() || s.isolated || s.reservedFor != nil || now.Before(s.pausedUntil) {
		return false
	}
	state := p.tracker.State(s.name)
	return state == health.Healthy || state == health.Cold
}

// capacity returns the maximum number of requests that may run on an upstream
// now. It is half of the slots, rounded up, while the upstream is cold or the pool is
// in slow start.
func (p *Pool) capacity(now time.Time, s *server) int {
	if now.Before(p.slowStartUntil) || p.tracker.State(s.name) == health.Cold {
		return (s.slots + 1) / 2
	}
	return s.slots
}

// pickServer returns the upstream for an ask, or nil if the ask has to wait. An
// upstream that waits for a trial request comes first, then the one with the lowest
// score.
func (p *Pool) pickServer(now time.Time, queued *queuedAsk) *server {
	if trial := p.trialServer(now, queued); trial != nil {
		return trial
	}
	var best *server
	bestScore := math.Inf(1)
	keepAlive := p.keepAliveServers(queued.ask.ID.Entry)
	for _, s := range p.servers {
		if !p.usable(now, s) || s.running >= p.capacity(now, s) || slices.Contains(queued.ask.Avoid, s.name) {
			continue
		}
		if queued.class == model.ClassLong && !s.acceptsLong() && p.limitsLong() {
			continue
		}
		if score := p.serverScore(queued, s, keepAlive); score < bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil && !p.anyUsable(now) && !p.anyPaused(now) {
		return p.fallbackServer(queued)
	}
	return best
}

func (p *Pool) limitsLong() bool {
	_, unbounded := p.longRule.(LongUnbounded)
	return !unbounded
}

// Weights of the terms of an upstream's score; the lowest score is chosen.
const (
	coldPenalty          = 4
	newConnectionPenalty = 0.3
	loadWeight           = 0.5
	outlierWeight        = 2
	runningLongWeight    = 0.5
	tieBreakWeight       = 0.01
)

func (p *Pool) serverScore(queued *queuedAsk, s *server, keepAlive keepAliveSet) float64 {
	score := float64(s.running)/float64(s.slots) + loadWeight*s.load
	if p.tracker.State(s.name) == health.Cold {
		score += coldPenalty
	}
	score += outlierWeight * p.tracker.OutlierScore(s.name)
	if !keepAlive.contains(s.name) {
		score += newConnectionPenalty
	}
	if queued.class == model.ClassLong {
		score += runningLongWeight * float64(s.runningLong)
	}
	return score + tieBreakWeight*p.random.Float64()
}

// keepAliveSet lists the upstreams to which an entry may keep idle connections
// open; nil means all upstreams.
type keepAliveSet []string

func (s keepAliveSet) contains(name string) bool {
	return s == nil || slices.Contains(s, name)
}

// keepAliveServers returns the upstreams to which an entry may keep connections
// open: all of them while the upstreams' connection limits suffice for all
// entries, otherwise the subset chosen by rendezvous hashing.
func (p *Pool) keepAliveServers(entry string) keepAliveSet {
	slots, connections := 0, math.MaxInt
	for _, s := range p.servers {
		slots = max(slots, s.slots)
		connections = min(connections, s.connections)
	}
	bound := int(maxConnectionShare * float64(connections))
	if slots == 0 || p.entries*slots <= bound {
		return nil
	}
	count := max(1, bound*len(p.servers)/(p.entries*slots))
	if count >= len(p.servers) {
		return nil
	}
	names := make([]string, len(p.servers))
	for i, s := range p.servers {
		names[i] = s.name
	}
	return rank.Top(entry, names, count)
}

// trialServer returns an upstream that waits for a trial request and may get this
// one. For the first trialRepeatableOnly of the trial, only short repeatable
// requests qualify.
func (p *Pool) trialServer(now time.Time, queued *queuedAsk) *server {
	for _, s := range p.servers {
		since, trial := p.tracker.TrialWaiting(s.name)
		if !trial || s.trialRunning || s.leaving() || s.running > 0 {
			continue
		}
		restricted := now.Sub(since) < trialRepeatableOnly
		if (!queued.ask.Repeatable || queued.class == model.ClassLong) && restricted {
			continue
		}
		if !slices.Contains(queued.ask.Avoid, s.name) {
			return s
		}
	}
	return nil
}

// fallbackServer returns the least busy upstream with a free slot, regardless of
// its health. It is used when no upstream is usable or paused, since the pool may
// have misjudged all of them.
func (p *Pool) fallbackServer(queued *queuedAsk) *server {
	var best *server
	for _, s := range p.servers {
		if s.leaving() || s.isolated || s.running >= s.slots || slices.Contains(queued.ask.Avoid, s.name) {
			continue
		}
		if best == nil || s.running < best.running {
			best = s
		}
	}
	return best
}

func (p *Pool) grant(queued *queuedAsk, s *server, isolated bool) Action {
	p.addGrant(&grant{
		id:          queued.ask.ID,
		session:     queued.ask.Session,
		server:      s,
		route:       queued.ask.Route,
		class:       queued.class,
		account:     queued.ask.Account,
		fingerprint: queued.ask.Fingerprint,
		expires:     queued.deadline.Add(grantExpiryMargin),
		isolated:    isolated,
		trial:       p.tracker.State(s.name) == health.Trial,
	})
	return Granted{ID: queued.ask.ID, Upstream: s.name, Keep: p.keepAliveServers(queued.ask.ID.Entry).contains(s.name)}
}

// dispatchSuspect grants a slot to the first queued suspect if none is running.
// A suspect needs an upstream with no other request in flight; if there is none, one
// is reserved until its requests have ended.
func (p *Pool) dispatchSuspect(now time.Time) []Action {
	p.requeueCleared(now)
	if p.isolatedRunning || len(p.suspects) == 0 {
		return nil
	}
	queued := p.suspects[0]
	s := p.reserveServer(now, queued)
	if s == nil || s.running > 0 {
		return nil
	}
	p.removeSuspect(0)
	return []Action{p.grant(queued, s, true)}
}

// requeueCleared moves suspects whose fingerprint has been cleared to the regular
// queues.
func (p *Pool) requeueCleared(now time.Time) {
	for i := 0; i < len(p.suspects); {
		candidate := p.suspects[i]
		if p.crashes.Standing(now, candidate.ask.Fingerprint) != crash.Clear {
			i++
			continue
		}
		p.removeSuspect(i)
		p.queues[candidate.class].push(candidate)
	}
}

// reserveServer returns the upstream reserved for a suspect, and reserves the
// least busy usable one if there is none yet.
func (p *Pool) reserveServer(now time.Time, queued *queuedAsk) *server {
	var best *server
	for _, s := range p.servers {
		if s.reservedFor == queued {
			return s
		}
		if !p.usable(now, s) || slices.Contains(queued.ask.Avoid, s.name) {
			continue
		}
		if best == nil || s.running < best.running {
			best = s
		}
	}
	if best != nil {
		best.reservedFor = queued
	}
	return best
}

// lessBusySibling returns the sibling pool with the shortest expected wait, if
// that is less than half of the given wait. It takes one free slot off the stored
// hint, so that asks redirected before the next hint spread over the siblings.
func (p *Pool) lessBusySibling(now time.Time, wait time.Duration) (string, bool) {
	best, found := Hint{}, false
	for _, sibling := range p.siblings {
		if now.Sub(sibling.receivedAt) > maxHintAge || sibling.hint.Wait*2 >= wait {
			continue
		}
		if sibling.hint.Wait == 0 && sibling.hint.Free == 0 {
			continue
		}
		if !found || compareHints(sibling.hint, best) < 0 {
			best, found = sibling.hint, true
		}
	}
	if found && best.Free > 0 {
		sibling := p.siblings[best.Pool]
		sibling.hint.Free--
		p.siblings[best.Pool] = sibling
	}
	return best.Pool, found
}

// compareHints orders hints from the least busy pool to the busiest.
func compareHints(a, b Hint) int {
	return cmp.Or(cmp.Compare(a.Wait, b.Wait), cmp.Compare(b.Free, a.Free), cmp.Compare(a.Pool, b.Pool))
}
