package broker

import (
	"math/rand/v2"
	"time"

	"dandeliondoor/crash"
	"dandeliondoor/health"
	"dandeliondoor/model"
)

// Limits and timing of a pool's queues and grants.
const (
	maxQueued           = 1024
	maxSuspects         = 64
	maxShortWait        = 500 * time.Millisecond
	grantExpiryMargin   = time.Second
	slowStartPeriod     = 250 * time.Millisecond
	shedBackoff         = 100 * time.Millisecond
	minRetryAfter       = time.Second
	waitSafetyFactor    = 1.1
	hundredPercent      = 100
	trialRepeatableOnly = 10 * time.Second
	maxHintAge          = 500 * time.Millisecond
	shortDemandHeadroom = 1.25
	minRedirectWait     = 2 * time.Millisecond
	longReserveDivisor  = 10
	maxConnectionShare  = 0.8
)

// grant is a slot in use by a request. An isolated grant runs a suspect with no
// other request on its upstream; a trial grant runs the request that tests an ejected
// upstream. crashRecorded is set once a crash of the upstream has been recorded for
// the request's fingerprint.
type grant struct {
	id            GrantID
	session       uint64
	server        *server
	route         string
	class         model.Class
	account       string
	fingerprint   crash.Fingerprint
	expires       time.Time
	isolated      bool
	trial         bool
	crashRecorded bool
}

type siblingHint struct {
	hint       Hint
	receivedAt time.Time
}

// Pool queues asks and assigns them to the upstreams of one pool.
type Pool struct {
	key              string
	servers          []*server
	byName           map[string]*server
	grants           map[GrantID]*grant
	queues           [2]*queue
	suspects         []*queuedAsk
	runningByAccount map[string]int
	accountLimits    map[string]int
	siblings         map[string]siblingHint
	estimator        *estimator
	tracker          *health.Tracker
	crashes          *crash.Tracker
	random           *rand.Rand
	entries          int
	slowStartUntil   time.Time
	longRule         LongRule
	runningLong      int
	isolatedRunning  bool
}

// Option configures a pool at its construction.
type Option func(*Pool)

// WithLongRule sets the rule that limits long requests. The default is
// LongByDemand.
func WithLongRule(rule LongRule) Option {
	return func(p *Pool) { p.longRule = rule }
}

// WithoutSlowStart disables slow start, which protects upstreams while a new
// broker doesn't know which requests are in flight.
func WithoutSlowStart() Option {
	return func(p *Pool) { p.slowStartUntil = time.Time{} }
}

// NewPool returns a pool in slow start, since grants of a previous broker may
// still be in use.
func NewPool(now time.Time, key string, seed uint64, options ...Option) *Pool {
	p := &Pool{
		key:              key,
		byName:           make(map[string]*server),
		grants:           make(map[GrantID]*grant),
		queues:           [2]*queue{newQueue(), newQueue()},
		runningByAccount: make(map[string]int),
		accountLimits:    make(map[string]int),
		siblings:         make(map[string]siblingHint),
		estimator:        newEstimator(),
		tracker:          health.NewTracker(0),
		crashes:          crash.NewTracker(),
		random:           rand.New(rand.NewPCG(seed, seed)),
		entries:          1,
		slowStartUntil:   now.Add(slowStartPeriod),
		longRule:         LongByDemand{},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Configuration is the part of the declared configuration that a pool uses.
// Entries is the number of daemons that may hold connections to the upstreams.
type Configuration struct {
	Pool         model.Pool
	FloorPercent int
	Entries      int
}

// Configure applies a configuration. Upstreams that are added to a pool that
// already has some start cold.
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
	floor := configuration.Pool.Slots()*configuration.FloorPercent + hundredPercent - 1
	verdicts = append(verdicts, p.tracker.SetFloor(floor/hundredPercent)...)
	p.entries = max(configuration.Entries, 1)
	return append(healthActions(verdicts), p.dispatch(now)...)
}

// SetSiblingHint stores the load reported by a sibling pool's broker.
func (p *Pool) SetSiblingHint(now time.Time, hint Hint) {
	p.siblings[hint.Pool] = siblingHint{hint: hint, receivedAt: now}
}

// Hint returns the load that this pool reports to its siblings.
func (p *Pool) Hint(now time.Time) Hint {
	_, free := p.usableSlots(now)
	return Hint{
		Pool: p.key,
		Free: max(0, free-p.queues[0].count-p.queues[1].count),
		Wait: p.expectedWait(now, model.ClassShort),
	}
}

// SetLeaving sets whether the list of VMs marks an upstream as leaving.
func (p *Pool) SetLeaving(now time.Time, upstream string, leaving bool) []Action {
	s, known := p.byName[upstream]
	if !known || s.listedLeaving == leaving {
		return nil
	}
	s.listedLeaving = leaving
	verdicts := p.tracker.SetLeaving(upstream, s.leaving())
	return append(healthActions(verdicts), p.dispatch(now)...)
}

// Tick removes expired grants and asks, and dispatches queued asks.
func (p *Pool) Tick(now time.Time) []Action {
	p.tracker.Tick(now)
	for _, g := range p.grants {
		if !now.Before(g.expires) {
			p.removeGrant(g)
		}
	}
	var actions []Action
	for _, q := range p.queues {
		for _, expired := range q.removeExpired(now) {
			actions = append(actions, Refused{ID: expired.ask.ID, Reason: ReasonDeadline, RetryAfter: minRetryAfter})
		}
	}
	for i := len(p.suspects) - 1; i >= 0; i-- {
		if expired := p.suspects[i]; !now.Before(expired.deadline) {
			p.removeSuspect(i)
			actions = append(actions, Refused{ID: expired.ask.ID, Reason: ReasonDeadline, RetryAfter: minRetryAfter})
		}
	}
	return append(actions, p.dispatch(now)...)
}

func (p *Pool) addGrant(g *grant) {
	p.grants[g.id] = g
	g.server.running++
	p.runningByAccount[g.account]++
	if g.class == model.ClassLong {
		g.server.runningLong++
		p.runningLong++
	}
	if g.isolated {
		g.server.isolated = true
		p.isolatedRunning = true
	}
	if g.trial {
		g.server.trialRunning = true
	}
}

func (p *Pool) removeGrant(g *grant) {
	delete(p.grants, g.id)
	g.server.running--
	p.runningByAccount[g.account]--
	if p.runningByAccount[g.account] == 0 {
		delete(p.runningByAccount, g.account)
		delete(p.accountLimits, g.account)
	}
	if g.class == model.ClassLong {
		g.server.runningLong--
		p.runningLong--
	}
	if g.isolated {
		g.server.isolated = false
		p.isolatedRunning = false
	}
	if g.trial {
		g.server.trialRunning = false
	}
}

func (p *Pool) removeSuspect(at int) {
	removed := p.suspects[at]
	p.suspects = append(p.suspects[:at], p.suspects[at+1:]...)
	for _, s := range p.servers {
		if s.reservedFor == removed {
			s.reservedFor = nil
		}
	}
}

func healthActions(verdicts []health.Verdict) []Action {
	actions := make([]Action, 0, len(verdicts))
	for _, verdict := range verdicts {
		actions = append(actions, HealthReported{Verdict: verdict})
	}
	return actions
}
