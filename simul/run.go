package simul

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"dandeliondoor/choose"
	"dandeliondoor/config"
	"dandeliondoor/costs"
	"dandeliondoor/feed"
	"dandeliondoor/slots"
	"dandeliondoor/topo"
)

const (
	// routePrefix precedes the name of a class in the name of its route.
	routePrefix = "route-"
	// waitDivisor and minWait bound the wait for a server, as the daemons do.
	waitDivisor = 8
	minWait     = 60 * time.Millisecond
	retryDelay  = 25 * time.Millisecond
	// hedgeRetryDelay is after which time a hedge is asked for again that found no room,
	// as the daemons do where asks wait. It doubles up to maxHedgeRetryDelay.
	hedgeRetryDelay    = 50 * time.Millisecond
	maxHedgeRetryDelay = 400 * time.Millisecond
	// returnShare is the share of the time left up to which callers wait before
	// they return after a refusal.
	returnShare = 1.0 / 3
	// callerDelay is the time between a caller and its daemon, both ways.
	callerDelay = 4 * time.Millisecond
	// minRetryAfter is the shortest wait that a daemon asks of a caller.
	minRetryAfter = 100 * time.Millisecond
)

// request is one request of a caller, with all its attempts and returns. Shed is set if
// its last attempt was rejected, waiting is the ticket of its queued ask.
type request struct {
	id       uint64
	class    *Class
	account  string
	daemon   string
	zone     string
	arrived  time.Duration
	asked    time.Duration
	deadline time.Duration
	tried    []string
	pending  int
	sends    int
	shed     bool
	done     bool
	waiting  uint64
	credited bool
	work     time.Duration
	traits   costs.Traits

	// hedgeRetry is after which time a refused hedge is asked for again, 0 before the first
	// refusal.
	hedgeRetry time.Duration
}

// attempt is a request on one server.
type attempt struct {
	request *request
	ticket  uint64
	sent    time.Duration
	server  *server
	ended   bool
}

// simulation plays a load.
type simulation struct {
	load    *Load
	random  *rand.Rand
	works   *rand.Rand
	pool    *choose.Pool
	servers map[string]*server
	records map[string]topo.Server
	listed  []topo.Server
	holds   map[string]*choose.Holds
	order   []*server
	queue   eventQueue
	now     time.Duration
	epoch   time.Time
	ticket  uint64
	report  *Report
	open    map[*request]struct{}

	arrivals uint64
	credit   map[string]*credit
	broker   *slots.Broker
	view     *feed.View
}

// Run plays a load. Start is the time at which the virtual clock starts.
func Run(start time.Time, load Load) *Report {
	s := &simulation{
		load:    &load,
		random:  rand.New(rand.NewPCG(load.Seed, load.Seed)),
		works:   rand.New(rand.NewPCG(load.Seed, workStream)),
		servers: make(map[string]*server),
		records: make(map[string]topo.Server),
		holds:   make(map[string]*choose.Holds),
		epoch:   start,
		open:    make(map[*request]struct{}),
		credit:  make(map[string]*credit),
		report:  newReport(&load),
	}
	limits := choose.RetryLimits{Ratio: load.Retries.Ratio, Window: load.Retries.Window, Slack: load.Retries.Slack}
	var options []choose.Option
	if load.Placement == config.PlacementCost {
		s.report.model = costs.NewModel(costs.DefaultLimits, s.report.compare)
		options = append(options, choose.WithCosts(s.report.model))
	}
	s.pool = choose.NewPool(start, load.Seed, limits, options...)
	s.addServers()
	s.addArrivals()
	if load.Queue {
		s.startQueue(limits)
	}
	for _, gone := range load.DaemonsGone {
		s.queue.add(gone.At, s.loseDaemons)
	}
	for {
		e, found := s.queue.next()
		if !found || (load.Stop > 0 && e.at >= load.Stop) {
			break
		}
		s.now = e.at
		e.handle()
	}
	for r := range s.open {
		s.report.class(r.class).Failed++
		s.report.unserved = append(s.report.unserved, r.arrived)
	}
	s.report.measureSpread(s.order)
	s.report.measurePauses(s.order)
	return s.report
}

func (s *simulation) time() time.Time { return s.epoch.Add(s.now) }

func (s *simulation) after(wait time.Duration, handle func()) { s.queue.add(s.now+wait, handle) }

func (s *simulation) addServers() {
	records := make([]topo.Server, s.load.Servers)
	for i := range records {
		id := fmt.Sprintf("i-%04d", i)
		records[i] = topo.Server{
			ID: id, Service: "service", Zone: zoneName(i % s.load.Zones), Slots: s.load.Slots, Born: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		}
		s.records[id] = records[i]
		server := newServer(id, i, s.load, rand.New(rand.NewPCG(s.load.Seed, uint64(i))))
		s.servers[id] = server
		s.order = append(s.order, server)
	}
	s.listed = records
	s.pool.SetServers(s.epoch, records)
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// addArrivals draws the arrivals of all classes by thinning a Poisson process.
func (s *simulation) addArrivals() {
	highest := s.load.maxFactor()
	for i := range s.load.Classes {
		class := &s.load.Classes[i]
		for at := 0.0; class.Rate > 0; {
			at += s.random.ExpFloat64() / (class.Rate * highest)
			arrival := seconds(at)
			if arrival >= s.load.Length {
				break
			}
			account := s.load.account(s.random)
			if s.random.Float64()*highest > s.load.factor(arrival, class.Name, account) {
				continue
			}
			s.queue.add(arrival, func() { s.arrive(class, account) })
		}
	}
}

func (s *simulation) arrive(class *Class, account string) {
	daemon := s.random.IntN(s.load.Daemons - s.daemonsGone())
	s.arrivals++
	r := &request{
		id: s.arrivals, class: class, account: account, daemon: fmt.Sprintf("front-%d", daemon), zone: zoneName(daemon % s.load.Zones),
		arrived: s.now, asked: s.now, deadline: s.now + class.Deadline,
	}
	r.work, r.traits = class.draw(s.works)
	if r.account == "" {
		r.account = r.traits.Account
	}
	if s.load.HideTraits {
		r.traits = costs.Traits{}
	}
	s.open[r] = struct{}{}
	s.report.class(class).Owed++
	s.report.account(account).Owed++
	s.report.arrived = append(s.report.arrived, s.now)
	s.queue.add(r.deadline, func() { s.finish(r, outcomeFailed) })
	s.ask(r)
}

// ask requests a server for the next attempt of a request.
func (s *simulation) ask(r *request) {
	if r.done {
		return
	}
	if wait := s.takeCredit(r); wait > 0 {
		s.refuse(r, wait)
		return
	}
	holds := s.holdsOf(r.daemon)
	s.ticket++
	ticket := s.ticket
	retryable := r.class.Idempotent && r.sends+1 < r.class.Attempts
	ask := choose.Ask{
		Daemon: r.daemon, Ticket: ticket, Route: routePrefix + r.class.Name, Zone: r.zone, Priority: r.class.Priority,
		Objective: r.class.Objective, Left: r.deadline - s.now, Repeat: r.sends > 0, Probe: retryable,
		Exclude: slices.Concat(r.tried, holds.Held(s.time(), s.listed)), Account: r.account, Traits: r.traits,
	}
	if s.load.Queue {
		s.decided(r, ticket, s.enqueue(r, ask))
		return
	}
	s.decided(r, ticket, s.pool.Choose(s.time(), ask))
}

// decided continues a request after the decision on an ask.
func (s *simulation) decided(r *request, ticket uint64, decision choose.Decision) {
	switch decision := decision.(type) {
	case choose.Granted:
		s.send(r, ticket, decision)
	case choose.Refused:
		if decision.Reason == choose.ReasonNoServer {
			decision.RetryAfter = max(decision.RetryAfter, s.holdsOf(r.daemon).NextEnd(s.time(), s.listed))
		}
		s.refused(r, decision)
	case choose.Queued:
		r.waiting = ticket
	}
}

// holdsOf returns what a daemon knows of the servers' pauses.
func (s *simulation) holdsOf(daemon string) *choose.Holds {
	if _, known := s.holds[daemon]; !known {
		s.holds[daemon] = choose.NewHolds()
	}
	return s.holds[daemon]
}

func (s *simulation) send(r *request, ticket uint64, granted choose.Granted) {
	server := s.servers[granted.Server]
	a := &attempt{request: r, ticket: ticket, sent: s.now, server: server}
	r.tried = append(r.tried, server.id)
	r.sends++
	r.pending++
	server.arrive(s.now, r.daemon)
	pause := s.load.pause(server.index, s.now)
	s.queue.add(r.deadline, func() { s.end(a, choose.TimedOut) })
	switch {
	case pause > 0:
		server.reject(s.now, r.daemon, pause)
		if !s.load.IgnorePauses {
			s.holdsOf(r.daemon).Pause(s.time(), time.Time{}, s.records[server.id], pause)
		}
		s.end(a, choose.Shed)
	case server.full(), s.isRejected():
		s.end(a, choose.Shed)
	case server.running < server.slots:
		s.startWork(a)
	default:
		server.queue = append(server.queue, a)
	}
	if r.class.Idempotent && r.sends < r.class.Attempts {
		s.after(max(granted.Patience, minWait), func() {
			if !a.ended {
				s.ask(r)
			}
		})
	}
}

// startWork runs an attempt on its server and starts the next queued one at its end.
func (s *simulation) startWork(a *attempt) {
	server := a.server
	server.running++
	failed, duration := server.run(s.now, a.request.class.Work, a.request.work)
	duration = scale(duration, s.load.slowdown(server.index, s.now))
	s.after(min(duration, max(a.request.deadline-s.now, 0)), func() {
		server.running--
		if !a.ended {
			outcome := choose.Served
			if failed {
				outcome = choose.Failed
				server.failures = append(server.failures, s.now)
			}
			s.end(a, outcome)
		}
		for len(server.queue) > 0 && server.running < server.slots {
			next := server.queue[0]
			server.queue = server.queue[1:]
			if !next.ended {
				s.startWork(next)
			}
		}
	})
}

// end releases an attempt and continues its request.
func (s *simulation) end(a *attempt, outcome choose.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	r := a.request
	r.pending--
	r.shed = outcome == choose.Shed
	s.release(choose.Release{
		Daemon: r.daemon, Ticket: a.ticket, Server: a.server.id, Outcome: outcome,
		Duration: s.now - a.sent, Running: a.server.running, Waiting: len(a.server.queue) + s.load.misreported(a.server.index),
	})
	switch {
	case outcome == choose.Served:
		s.finish(r, outcomeServed)
	case r.done || r.pending > 0 || outcome == choose.TimedOut:
	case outcome == choose.Shed && r.sends < max(r.class.Attempts, 1):
		s.ask(r)
	case outcome == choose.Failed && r.class.Idempotent && r.sends < r.class.Attempts:
		s.ask(r)
	case outcome == choose.Shed:
		s.refuse(r, minRetryAfter)
	default:
		s.finish(r, outcomeFailed)
	}
}

// refused handles a refusal of the pool: the daemon asks again for a short time,
// and then the caller is refused.
func (s *simulation) refused(r *request, refused choose.Refused) {
	switch {
	case r.pending > 0 && s.load.Queue && refused.Reason == choose.ReasonOverload:
		delay := max(r.hedgeRetry, hedgeRetryDelay)
		r.hedgeRetry = min(2*delay, maxHedgeRetryDelay)
		s.after(delay, func() {
			if r.pending > 0 {
				s.ask(r)
			}
		})
	case r.pending > 0:
	case refused.Reason == choose.ReasonBudget && r.shed:
		s.refuse(r, minRetryAfter)
	case refused.Reason == choose.ReasonBudget && r.sends > 0:
		s.finish(r, outcomeFailed)
	case !s.load.Queue && refused.Reason != choose.ReasonBudget && s.now-r.asked < max(r.class.Objective/waitDivisor, minWait):
		s.after(retryDelay, func() { s.ask(r) })
	default:
		s.refuse(r, refused.RetryAfter)
	}
}

// refuse tells the caller to return later. It returns if a third of the time that
// is left exceeds the wait.
func (s *simulation) refuse(r *request, wait time.Duration) {
	if r.done {
		return
	}
	s.report.class(r.class).Refusals++
	wait = max(wait, minRetryAfter)
	if s.load.EagerCallers {
		wait = eagerDelay
	} else if wait.Seconds() > returnShare*(r.deadline-s.now).Seconds() {
		s.finish(r, outcomeRefused)
		return
	}
	s.after(wait+callerDelay, func() {
		r.asked, r.tried, r.sends, r.shed, r.credited = s.now, nil, 0, false, false
		s.ask(r)
	})
}

// outcome is how a request ended for its caller.
type outcome uint8

const (
	outcomeServed outcome = iota
	outcomeRefused
	outcomeFailed
)

func (s *simulation) finish(r *request, end outcome) {
	if r.done {
		return
	}
	r.done = true
	delete(s.open, r)
	if r.waiting != 0 {
		s.broker.Cancel(s.time(), slots.TicketRequest{Pool: poolKey, Daemon: r.daemon, Ticket: r.waiting})
	}
	c := s.report.class(r.class)
	duration := s.now - r.arrived
	switch {
	case end == outcomeServed && duration <= r.class.Objective:
		c.InTime++
	case end == outcomeServed:
		c.Late++
	case end == outcomeRefused:
		c.Refused++
	default:
		c.Failed++
	}
	if end == outcomeServed {
		s.report.account(r.account).InTime++
		c.durations = append(c.durations, duration)
		return
	}
	s.report.unserved = append(s.report.unserved, r.arrived)
}
