package broker

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dandeliondoor/crash"
	"dandeliondoor/health"
	"dandeliondoor/model"
)

// The bounds of a pool's queue and grants.
const (
	maxQueued        = 1024
	maxShortWait     = 500 * time.Millisecond
	grantMargin      = time.Second
	settlePeriod     = 250 * time.Millisecond
	shedPause        = 100 * time.Millisecond
	minRetryAfter    = time.Second
	waitSafety       = 1.1
	percentAll       = 100
	trialPatience    = 10 * time.Second
	hintFreshness    = 500 * time.Millisecond
	shortHeadroom    = 1.25
	redirectMinWait  = 2 * time.Millisecond
	longReservePart  = 10
	connectionsShare = 0.8
)

// grant is a slot in use.
type grant struct {
	id          GrantID
	session     uint64
	server      *server
	route       string
	class       model.Class
	account     string
	fingerprint crash.Fingerprint
	expires     time.Time
	alone       bool
	trial       bool
	crashSeen   bool
	foreign     bool
}

type siblingHint struct {
	hint Hint
	at   time.Time
}

// Pool decides for the upstreams of one pool.
type Pool struct {
	key      string
	servers  []*server
	byName   map[string]*server
	grants   map[GrantID]*grant
	queues   [2]*queue
	suspects []*waiting
	running  map[string]int
	limits   map[string]int
	siblings map[string]siblingHint
	learner  *learner
	tracker  *health.Tracker
	memory   *crash.Memory
	random   *rand.Rand
	entries  int
	settled  time.Time
	longRule LongRule
	longRun  int
	aloneRun bool
}

// LongRule is how long work is kept from taking all slots.
type LongRule interface{ isLongRule() }

// LongByDemand gives long work its part of all demand, and beyond that what the
// demand of short work does not need.
type LongByDemand struct{}

// LongFixed gives long work a fixed share of the slots, from 0 to 1.
type LongFixed struct{ Share float64 }

// LongUnbounded treats long work like any other.
type LongUnbounded struct{}

var (
	_ LongRule = LongByDemand{}
	_ LongRule = LongFixed{}
	_ LongRule = LongUnbounded{}
)

func (LongByDemand) isLongRule()  {}
func (LongFixed) isLongRule()     {}
func (LongUnbounded) isLongRule() {}

// Option changes a pool at its construction.
type Option func(*Pool)

// WithLongRule replaces LongByDemand.
func WithLongRule(rule LongRule) Option {
	return func(p *Pool) { p.longRule = rule }
}

// WithSettledState skips the careful start of a broker that does not know what
// is in flight.
func WithSettledState() Option {
	return func(p *Pool) { p.settled = time.Time{} }
}

// NewPool returns a pool that starts carefully, since grants of an earlier
// broker may be in use.
func NewPool(now time.Time, key string, seed uint64, options ...Option) *Pool {
	p := &Pool{
		key:      key,
		byName:   make(map[string]*server),
		grants:   make(map[GrantID]*grant),
		queues:   [2]*queue{newQueue(), newQueue()},
		running:  make(map[string]int),
		limits:   make(map[string]int),
		siblings: make(map[string]siblingHint),
		learner:  newLearner(),
		tracker:  health.NewTracker(0),
		memory:   crash.NewMemory(),
		random:   rand.New(rand.NewPCG(seed, seed)),
		entries:  1,
		settled:  now.Add(settlePeriod),
		longRule: LongByDemand{},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Configuration is what a pool takes from the declaration. Entries is the count
// of daemons that may hold connections to the upstreams.
type Configuration struct {
	Pool         model.Pool
	FloorPercent int
	Entries      int
}

// Configure takes a declaration; upstreams that are new to a pool in use start
// cold.
func (p *Pool) Configure(now time.Time, configuration Configuration) []Action {
	first := len(p.servers) == 0
	declared := make(map[string]struct{}, len(configuration.Pool.Upstreams))
	servers := make([]*server, 0, len(configuration.Pool.Upstreams))
	for _, upstream := range configuration.Pool.Upstreams {
		declared[upstream.Name] = struct{}{}
		found, known := p.byName[upstream.Name]
		if known && found.address == upstream.Address {
			found.slots, found.connections = upstream.Slots, upstream.Connections
		} else {
			found = newServer(upstream)
			p.byName[upstream.Name] = found
		}
		servers = append(servers, found)
		p.tracker.Add(now, upstream.Name, upstream.Slots, !first)
	}
	var verdicts []health.Verdict
	for name := range p.byName {
		if _, kept := declared[name]; !kept {
			delete(p.byName, name)
			verdicts = append(verdicts, p.tracker.Remove(name)...)
		}
	}
	p.servers = servers
	floor := configuration.Pool.Slots()*configuration.FloorPercent + percentAll - 1
	verdicts = append(verdicts, p.tracker.SetFloor(floor/percentAll)...)
	p.entries = max(configuration.Entries, 1)
	return append(judged(verdicts), p.serve(now)...)
}

// Ask takes an ask and returns what is decided at once; an ask without an
// action waits in the queue.
func (p *Pool) Ask(now time.Time, ask Ask) []Action {
	if _, known := p.grants[ask.ID]; known {
		return nil
	}
	if ask.Limit > 0 {
		p.limits[ask.Account] = ask.Limit
	}
	class := p.learner.classOf(ask.Route, ask.Class)
	p.learner.arrived(now, class)
	entered := &waiting{ask: ask, class: class, since: now, deadline: now.Add(ask.Budget)}
	if ask.Suspect {
		p.memory.Learn(now, ask.Fingerprint, crash.Suspect)
	}
	switch p.memory.Standing(now, ask.Fingerprint) {
	case crash.Convicted:
		return []Action{Refused{ID: ask.ID, Reason: ReasonPoisonous}}
	case crash.Suspect:
		p.suspects = append(p.suspects, entered)
		return p.serve(now)
	case crash.Clear:
	}
	if action, decided := p.admit(now, entered); decided {
		return []Action{action}
	}
	p.queues[class].push(entered)
	return p.serve(now)
}

// admit refuses or redirects an ask that should not enter the queue.
func (p *Pool) admit(now time.Time, entered *waiting) (Action, bool) {
	ask := entered.ask
	if !p.anyUsable(now) || !p.anyPresent(ask.Avoid) {
		if sibling, found := p.betterSibling(now, math.MaxInt64); found && !ask.Redirected {
			return Redirected{ID: ask.ID, Pool: sibling}, true
		}
		if !p.anyPresent(ask.Avoid) {
			return Refused{ID: ask.ID, Reason: ReasonNoUpstream, RetryAfter: minRetryAfter}, true
		}
	}
	if limit := ask.Limit; limit > 0 && p.running[ask.Account]+len(p.queues[entered.class].lines[ask.Account]) >= 2*limit {
		return Refused{ID: ask.ID, Reason: ReasonAccountLimit, RetryAfter: minRetryAfter}, true
	}
	wait := p.expectedWait(now, entered.class)
	if wait > redirectMinWait && !ask.Redirected {
		if sibling, found := p.betterSibling(now, wait); found {
			return Redirected{ID: ask.ID, Pool: sibling}, true
		}
	}
	if p.tooLate(entered, wait) {
		return Refused{ID: ask.ID, Reason: ReasonOverload, RetryAfter: max(wait, minRetryAfter)}, true
	}
	return nil, false
}

// tooLate reports whether an ask could not finish before its deadline.
func (p *Pool) tooLate(entered *waiting, wait time.Duration) bool {
	if p.queues[0].count+p.queues[1].count >= maxQueued {
		return true
	}
	if entered.class == model.ClassShort && wait > maxShortWait {
		return true
	}
	return wait > 0 && wait+p.learner.mean(entered.class) > entered.ask.Budget
}

// expectedWait estimates how long an ask of a class waits for a slot.
func (p *Pool) expectedWait(now time.Time, class model.Class) time.Duration {
	slots, free := p.usableSlots(now)
	if class == model.ClassLong {
		limit := p.longLimit(now)
		if p.longRun < limit && free > 0 && p.queues[0].count == 0 && p.queues[1].count == 0 {
			return 0
		}
		return p.drainTime(p.queues[1].count+1, p.learner.mean(model.ClassLong), limit)
	}
	if free > p.queues[0].count {
		return 0
	}
	return p.drainTime(p.queues[0].count+1, p.learner.mean(model.ClassShort), slots-p.longRun)
}

func (p *Pool) drainTime(count int, mean time.Duration, slots int) time.Duration {
	return time.Duration(waitSafety * float64(count) * float64(mean) / float64(max(slots, 1)))
}

// Cancel ends an ask or a grant that the entry gave up.
func (p *Pool) Cancel(now time.Time, id GrantID) []Action {
	for _, q := range p.queues {
		if q.remove(id) {
			return nil
		}
	}
	for i, candidate := range p.suspects {
		if candidate.ask.ID == id {
			p.dropSuspect(i)
			return p.serve(now)
		}
	}
	if held, known := p.grants[id]; known {
		p.end(held)
		return p.serve(now)
	}
	return nil
}

// Release ends a grant and takes its evidence.
func (p *Pool) Release(now time.Time, release Release) []Action {
	held, known := p.grants[release.ID]
	if !known {
		return nil
	}
	p.end(held)
	excused := p.excused(held, release.Outcome)
	actions := p.learnCrash(now, held, release.Outcome)
	if release.Outcome == health.Success {
		p.learner.finished(held.route, held.class, release.Duration)
	}
	p.noteServer(now, held.server, release)
	verdicts := p.tracker.SetLeaving(held.server.name, held.server.leaving())
	if release.Warming {
		verdicts = append(verdicts, p.tracker.SetCold(now, held.server.name)...)
	}
	if !excused {
		verdicts = append(verdicts, p.tracker.Observe(now, health.Sample{
			Upstream: held.server.name,
			Reporter: held.id.Entry,
			Route:    held.route,
			Outcome:  release.Outcome,
			Duration: release.Latency,
		})...)
	}
	actions = append(actions, judged(verdicts)...)
	return append(actions, p.serve(now)...)
}

// excused reports whether a lost connection says nothing about the upstream:
// the request ran alone as a suspect, or was in flight at a crash that another
// request has reported.
func (p *Pool) excused(held *grant, outcome health.Outcome) bool {
	return outcome == health.Lost && (held.alone || held.crashSeen)
}

func (p *Pool) noteServer(now time.Time, s *server, release Release) {
	if release.Load >= 0 {
		s.load = release.Load
	}
	if release.Outcome == health.Success || release.Draining {
		s.saysLeaving = release.Draining
	}
	if release.Outcome == health.Shed {
		s.shedUntil = now.Add(shedPause)
	}
}

// learnCrash turns everything in flight on a lost upstream into suspects, and
// clears what succeeded.
func (p *Pool) learnCrash(now time.Time, held *grant, outcome health.Outcome) []Action {
	switch outcome {
	case health.Success:
		p.memory.Succeeded(held.fingerprint)
		return nil
	case health.Lost:
	default:
		return nil
	}
	if held.crashSeen {
		return nil
	}
	held.crashSeen = held.fingerprint != 0
	actions := p.suspect(now, held)
	for _, other := range p.sortedGrants() {
		if other.server == held.server && !other.crashSeen && other.fingerprint != 0 {
			other.crashSeen = true
			actions = append(actions, p.suspect(now, other)...)
		}
	}
	return actions
}

// sortedGrants returns the grants in an order that does not depend on chance.
func (p *Pool) sortedGrants() []*grant {
	sorted := slices.Collect(maps.Values(p.grants))
	slices.SortFunc(sorted, func(a, b *grant) int {
		return cmp.Or(cmp.Compare(a.id.Entry, b.id.Entry), cmp.Compare(a.id.Seq, b.id.Seq))
	})
	return sorted
}

func (p *Pool) suspect(now time.Time, held *grant) []Action {
	standing := p.memory.Crashed(now, held.fingerprint, held.alone)
	if standing == crash.Clear {
		return nil
	}
	return []Action{Shared{Fingerprint: held.fingerprint, Standing: standing}}
}

// LearnFingerprint takes the standing that a sibling pool found.
func (p *Pool) LearnFingerprint(now time.Time, fingerprint crash.Fingerprint, standing crash.Standing) {
	p.memory.Learn(now, fingerprint, standing)
}

// TakeHold counts a grant that an earlier broker gave.
func (p *Pool) TakeHold(now time.Time, hold Hold) {
	s, known := p.byName[hold.Upstream]
	if held, counted := p.grants[hold.ID]; counted {
		held.session = hold.Session
		return
	}
	if !known {
		return
	}
	p.begin(&grant{
		id:      hold.ID,
		session: hold.Session,
		server:  s,
		class:   hold.Class,
		expires: now.Add(hold.Budget + grantMargin),
		foreign: true,
	})
}

// TakeHint takes what a sibling pool's broker says of its load.
func (p *Pool) TakeHint(now time.Time, hint Hint) {
	p.siblings[hint.Pool] = siblingHint{hint: hint, at: now}
}

// Hint returns what this pool tells its siblings.
func (p *Pool) Hint(now time.Time) Hint {
	_, free := p.usableSlots(now)
	return Hint{
		Pool: p.key,
		Free: max(0, free-p.queues[0].count-p.queues[1].count),
		Wait: p.expectedWait(now, model.ClassShort),
	}
}

// SetLeaving marks an upstream by what the VM list says of it.
func (p *Pool) SetLeaving(now time.Time, upstream string, leaving bool) []Action {
	s, known := p.byName[upstream]
	if !known || s.listLeaving == leaving {
		return nil
	}
	s.listLeaving = leaving
	verdicts := p.tracker.SetLeaving(upstream, s.leaving())
	return append(judged(verdicts), p.serve(now)...)
}

// SessionEnded forgets the asks that came over a connection that has ended.
func (p *Pool) SessionEnded(now time.Time, session uint64) []Action {
	for _, q := range p.queues {
		q.ofSession(session)
	}
	for i := len(p.suspects) - 1; i >= 0; i-- {
		if p.suspects[i].ask.Session == session {
			p.dropSuspect(i)
		}
	}
	return p.serve(now)
}

// SessionGone frees the grants of an ended connection that were not claimed
// over a newer one.
func (p *Pool) SessionGone(now time.Time, session uint64) []Action {
	for _, held := range p.grants {
		if held.session == session {
			p.end(held)
		}
	}
	return p.serve(now)
}

// Tick ends what has expired and serves the queue.
func (p *Pool) Tick(now time.Time) []Action {
	p.tracker.Tick(now)
	for _, held := range p.grants {
		if !now.Before(held.expires) {
			p.end(held)
		}
	}
	var actions []Action
	for _, q := range p.queues {
		for _, ended := range q.expired(now) {
			actions = append(actions, Refused{ID: ended.ask.ID, Reason: ReasonDeadline, RetryAfter: minRetryAfter})
		}
	}
	for i := len(p.suspects) - 1; i >= 0; i-- {
		if ended := p.suspects[i]; !now.Before(ended.deadline) {
			p.dropSuspect(i)
			actions = append(actions, Refused{ID: ended.ask.ID, Reason: ReasonDeadline, RetryAfter: minRetryAfter})
		}
	}
	return append(actions, p.serve(now)...)
}

func (p *Pool) begin(held *grant) {
	p.grants[held.id] = held
	held.server.running++
	p.running[held.account]++
	if held.class == model.ClassLong {
		held.server.long++
		p.longRun++
	}
	if held.alone {
		held.server.alone = true
		p.aloneRun = true
	}
	if held.trial {
		held.server.trialRunning = true
	}
}

func (p *Pool) end(held *grant) {
	delete(p.grants, held.id)
	held.server.running--
	p.running[held.account]--
	if p.running[held.account] == 0 {
		delete(p.running, held.account)
		delete(p.limits, held.account)
	}
	if held.class == model.ClassLong {
		held.server.long--
		p.longRun--
	}
	if held.alone {
		held.server.alone = false
		p.aloneRun = false
	}
	if held.trial {
		held.server.trialRunning = false
	}
}

func (p *Pool) dropSuspect(at int) {
	dropped := p.suspects[at]
	p.suspects = append(p.suspects[:at], p.suspects[at+1:]...)
	for _, s := range p.servers {
		if s.reservedFor == dropped {
			s.reservedFor = nil
		}
	}
}

func judged(verdicts []health.Verdict) []Action {
	actions := make([]Action, 0, len(verdicts))
	for _, verdict := range verdicts {
		actions = append(actions, Judged{Verdict: verdict})
	}
	return actions
}
