package broker_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"dandeliondoor/broker"
	"dandeliondoor/health"
	"dandeliondoor/model"
)

// epoch is time zero of simulations and traces.
var epoch = time.Date(2026, 8, 1, 8, 0, 0, 0, time.UTC)

// workload describes the simulated upstreams and traffic. The mean duration of long
// requests is longRatio times that of short ones, longShare is the share of long
// requests, and spread is the standard deviation of the logarithm of the durations.
type workload struct {
	entries   int
	upstreams int
	slots     int
	zones     int
	short     time.Duration
	longRatio float64
	longShare float64
	spread    float64
	seed      uint64
}

// catalogueWorkload is the workload that the performance targets refer to: 48 daemons
// in front of 20 upstreams with 3 slots each, and 2% of the requests take 20 times
// as long as the others.
func catalogueWorkload(seed uint64) workload {
	return workload{
		entries: 48, upstreams: 20, slots: 3, zones: 3,
		short: 20 * time.Millisecond, longRatio: 20, longShare: 0.02, spread: 0.5, seed: seed,
	}
}

func (w workload) meanService() float64 {
	return w.short.Seconds() * (1 - w.longShare + w.longShare*w.longRatio)
}

// capacity returns the request rate per second that keeps all slots busy.
func (w workload) capacity() float64 {
	return float64(w.upstreams*w.slots) / w.meanService()
}

// job is one simulated request.
type job struct {
	id         broker.GrantID
	class      model.Class
	account    string
	arrived    time.Duration
	service    time.Duration
	started    time.Duration
	ended      time.Duration
	refused    bool
	decided    time.Duration
	upstream   int
	pool       int
	redirected bool
}

// jobs generates random requests for a period of the given length. load returns
// the load at a time as a fraction of the capacity; it must not exceed 2.
func (w workload) jobs(length time.Duration, load func(at time.Duration) float64) []*job {
	random := rand.New(rand.NewPCG(w.seed, 1))
	var jobs []*job
	maxLoad := 2.0
	for at := 0.0; at < length.Seconds(); {
		at += random.ExpFloat64() / (w.capacity() * maxLoad)
		now := time.Duration(at * float64(time.Second))
		if random.Float64()*maxLoad > load(now) {
			continue
		}
		mean, class := w.short.Seconds(), model.ClassShort
		if random.Float64() < w.longShare {
			mean, class = mean*w.longRatio, model.ClassLong
		}
		service := mean * math.Exp(w.spread*random.NormFloat64()-w.spread*w.spread/2)
		jobs = append(jobs, &job{
			id:       broker.GrantID{Entry: fmt.Sprintf("entry-%02d", random.IntN(w.entries)), Seq: uint64(len(jobs) + 1)},
			class:    class,
			account:  fmt.Sprintf("account-%d", random.IntN(20)),
			arrived:  now,
			service:  time.Duration(service * float64(time.Second)),
			upstream: -1,
		})
	}
	return jobs
}

// event is a simulated event. Events at the same time are handled in the order of
// seq.
type event struct {
	at     time.Duration
	seq    int
	handle func(now time.Duration)
}

// eventQueue is a heap of events ordered by time.
type eventQueue struct {
	events []event
	seq    int
}

func (q *eventQueue) Len() int { return len(q.events) }
func (q *eventQueue) Less(i, j int) bool {
	if q.events[i].at != q.events[j].at {
		return q.events[i].at < q.events[j].at
	}
	return q.events[i].seq < q.events[j].seq
}
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *eventQueue) Push(x any)    { q.events = append(q.events, x.(event)) }
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

func (q *eventQueue) add(at time.Duration, handle func(now time.Duration)) {
	q.seq++
	heap.Push(q, event{at: at, seq: q.seq, handle: handle})
}

func (q *eventQueue) run() {
	for q.Len() > 0 {
		next := heap.Pop(q).(event)
		next.handle(next.at)
	}
}

// chooser assigns jobs to upstreams.
type chooser interface {
	arrive(s *simulation, now time.Duration, j *job)
	finish(s *simulation, now time.Duration, j *job)
}

// simulation simulates upstreams that each have a number of slots and a FIFO queue.
type simulation struct {
	eventQueue
	workload workload
	running  []int
	queued   [][]*job
	jobs     []*job
	chooser  chooser
	end      time.Duration
}

func simulate(w workload, c chooser, jobs []*job, length time.Duration) *simulation {
	s := &simulation{workload: w, running: make([]int, w.upstreams), queued: make([][]*job, w.upstreams), jobs: jobs, chooser: c, end: length}
	for _, j := range jobs {
		s.add(j.arrived, func(now time.Duration) { c.arrive(s, now, j) })
	}
	if ticker, ticks := c.(interface {
		tick(*simulation, time.Duration)
	}); ticks {
		for at := time.Duration(0); at < length; at += 20 * time.Millisecond {
			s.add(at, func(now time.Duration) { ticker.tick(s, now) })
		}
	}
	s.run()
	return s
}

// send assigns a job to an upstream, where it is queued until a slot is free.
func (s *simulation) send(now time.Duration, j *job, upstream int) {
	j.upstream = upstream
	j.decided = now
	if s.running[upstream] >= s.workload.slots {
		s.queued[upstream] = append(s.queued[upstream], j)
		return
	}
	s.start(now, j)
}

func (s *simulation) start(now time.Duration, j *job) {
	s.running[j.upstream]++
	j.started = now
	s.add(now+j.service, func(now time.Duration) {
		j.ended = now
		s.running[j.upstream]--
		if queued := s.queued[j.upstream]; len(queued) > 0 {
			s.queued[j.upstream] = queued[1:]
			s.start(now, queued[0])
		}
		s.chooser.finish(s, now, j)
	})
}

// twoChoices simulates daemons that draw two random upstreams and choose the one
// with fewer requests in flight from the same daemon. With useReports, the last
// load reported by each upstream is added to that number.
type twoChoices struct {
	random       *rand.Rand
	inFlight     map[string][]int
	useReports   bool
	reportedLoad []int
}

func newTwoChoices(w workload, useReports bool) *twoChoices {
	return &twoChoices{
		random: rand.New(rand.NewPCG(w.seed, 2)), inFlight: make(map[string][]int), useReports: useReports,
		reportedLoad: make([]int, w.upstreams),
	}
}

func (c *twoChoices) arrive(s *simulation, now time.Duration, j *job) {
	inFlight := c.inFlight[j.id.Entry]
	if inFlight == nil {
		inFlight = make([]int, s.workload.upstreams)
		c.inFlight[j.id.Entry] = inFlight
	}
	first, second := c.random.IntN(len(inFlight)), c.random.IntN(len(inFlight))
	busier := inFlight[first] > inFlight[second]
	if c.useReports {
		busier = c.reportedLoad[first]+inFlight[first] > c.reportedLoad[second]+inFlight[second]
	}
	if busier {
		first = second
	}
	inFlight[first]++
	s.send(now, j, first)
}

func (c *twoChoices) finish(_ *simulation, _ time.Duration, j *job) {
	c.inFlight[j.id.Entry][j.upstream]--
}

// tick updates the reported loads every 100 ms.
func (c *twoChoices) tick(s *simulation, now time.Duration) {
	if now%(100*time.Millisecond) != 0 {
		return
	}
	for i := range c.reportedLoad {
		c.reportedLoad[i] = s.running[i] + len(s.queued[i])
	}
}

// brokerChooser assigns jobs by means of broker pools.
type brokerChooser struct {
	pools       []*broker.Pool
	byName      map[string]int
	pending     map[broker.GrantID]*job
	budget      func(class model.Class) time.Duration
	lastArrival int
}

// deadlines returns the deadlines used in the examples: 2 s for short requests and
// 30 s for long ones.
func deadlines(class model.Class) time.Duration {
	if class == model.ClassLong {
		return 30 * time.Second
	}
	return 2 * time.Second
}

func newBrokerChooser(w workload, rule broker.LongRule) *brokerChooser {
	b := &brokerChooser{byName: make(map[string]int), pending: make(map[broker.GrantID]*job), budget: deadlines}
	service := model.Service{Name: "souk-catalogue", FloorPercent: 60}
	for i := range w.upstreams {
		name := fmt.Sprintf("souk-%02d", i)
		b.byName[name] = i
		service.Upstreams = append(service.Upstreams, model.Upstream{
			Name: name, Zone: fmt.Sprint("zone-", i%w.zones), Slots: w.slots, Connections: 400,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	for i, declared := range model.Pools(service) {
		pool := broker.NewPool(epoch, declared.Key, w.seed+uint64(i), broker.WithLongRule(rule), broker.WithoutSlowStart())
		pool.Configure(epoch, broker.Configuration{Pool: declared, FloorPercent: 60, Entries: w.entries})
		b.pools = append(b.pools, pool)
	}
	return b
}

func (b *brokerChooser) arrive(s *simulation, now time.Duration, j *job) {
	b.lastArrival++
	j.pool = b.lastArrival % len(b.pools)
	b.ask(s, now, j)
}

func (b *brokerChooser) ask(s *simulation, now time.Duration, j *job) {
	b.pending[j.id] = j
	b.apply(s, now, b.pools[j.pool].Ask(epoch.Add(now), broker.Ask{
		ID: j.id, Route: j.class.String(), Class: j.class, Account: j.account, Repeatable: true,
		Budget: b.budget(j.class) - (now - j.arrived), Redirected: j.redirected,
	}))
}

func (b *brokerChooser) apply(s *simulation, now time.Duration, actions []broker.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case broker.Granted:
			j := b.pending[action.ID]
			delete(b.pending, action.ID)
			s.send(now, j, b.byName[action.Upstream])
		case broker.Refused:
			j := b.pending[action.ID]
			delete(b.pending, action.ID)
			j.refused, j.decided = true, now
		case broker.Redirected:
			j := b.pending[action.ID]
			j.redirected = true
			for i, pool := range b.pools {
				if pool.Hint(epoch).Pool == action.Pool {
					j.pool = i
				}
			}
			// The delay is the entry's round trip to the other zone.
			s.add(now+time.Millisecond, func(now time.Duration) { b.ask(s, now, j) })
		}
	}
}

func (b *brokerChooser) finish(s *simulation, now time.Duration, j *job) {
	b.apply(s, now, b.pools[j.pool].Release(epoch.Add(now), broker.Release{
		ID: j.id, Outcome: health.Success, Latency: j.service, Duration: now - j.decided, Load: -1,
	}))
}

// tick ticks the pools, and exchanges hints between siblings every 60 ms.
func (b *brokerChooser) tick(s *simulation, now time.Duration) {
	at := epoch.Add(now)
	for _, pool := range b.pools {
		b.apply(s, now, pool.Tick(at))
	}
	if now%(60*time.Millisecond) != 0 {
		return
	}
	for _, pool := range b.pools {
		hint := pool.Hint(at)
		for _, sibling := range b.pools {
			if sibling != pool {
				sibling.SetSiblingHint(at, hint)
			}
		}
	}
}

// quantile returns a quantile of durations in milliseconds.
func quantile(durations []time.Duration, q float64) float64 {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Clone(durations)
	slices.Sort(sorted)
	at := min(int(q*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[at]) / float64(time.Millisecond)
}

// waits returns the waits of all jobs of a class that arrived within a period and
// weren't refused.
func waits(jobs []*job, class model.Class, from, to time.Duration) []time.Duration {
	var found []time.Duration
	for _, j := range jobs {
		if j.class == class && !j.refused && j.arrived >= from && j.arrived < to {
			found = append(found, j.started-j.arrived)
		}
	}
	return found
}
