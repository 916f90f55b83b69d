package broker

import (
	"math/rand/v2"
	"time"

	"dandeliondoor/crash"
	"dandeliondoor/health"
	"dandeliondoor/model"
)

// The bounds of a pool's queue and grants.
const (
	maxQueued        = 1024
	maxSuspects      = 64
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
