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

// epoch is when each recorded time starts.
var epoch = time.Date(2026, 8, 1, 8, 0, 0, 0, time.UTC)

// workload is the traffic that the measurements of slots share.
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

// market is the workload of issue and design: 48 daemons before 20 upstreams of
// 3 slots, 2% of requests 20 times as long.
func market(seed uint64) workload {
	return workload{
		entries: 48, upstreams: 20, slots: 3, zones: 3,
		short: 20 * time.Millisecond, longRatio: 20, longShare: 0.02, spread: 0.5, seed: seed,
	}
}

func (w workload) meanService() float64 {
	return w.short.Seconds() * (1 - w.longShare + w.longShare*w.longRatio)
}

// capacity returns the requests a second that fill all slots.
func (w workload) capacity() float64 {
	return float64(w.upstreams*w.slots) / w.meanService()
}

// job is one request.
type job struct {
	id       broker.GrantID
	class    model.Class
	account  string
	arrived  time.Duration
	service  time.Duration
	started  time.Duration
	ended    time.Duration
	refused  bool
	decided  time.Duration
	upstream int
	pool     int
	hopped   bool
}

// jobs draws the requests of a time, with the load as a function of it.
func (w workload) jobs(length time.Duration, load func(at time.Duration) float64) []*job {
	random := rand.New(rand.NewPCG(w.seed, 1))
	var all []*job
	highest := 2.0
	for at := 0.0; at < length.Seconds(); {
		at += random.ExpFloat64() / (w.capacity() * highest)
		now := time.Duration(at * float64(time.Second))
		if random.Float64()*highest > load(now) {
			continue
		}
		mean, class := w.short.Seconds(), model.ClassShort
		if random.Float64() < w.longShare {
			mean, class = mean*w.longRatio, model.ClassLong
		}
		service := mean * math.Exp(w.spread*random.NormFloat64()-w.spread*w.spread/2)
		all = append(all, &job{
			id:       broker.GrantID{Entry: fmt.Sprintf("entry-%02d", random.IntN(w.entries)), Seq: uint64(len(all) + 1)},
			class:    class,
			account:  fmt.Sprintf("account-%d", random.IntN(20)),
			arrived:  now,
			service:  time.Duration(service * float64(time.Second)),
			upstream: -1,
		})
	}
	return all
}

// event is something that happens at a time.
type event struct {
	at   time.Duration
	seq  int
	work func(now time.Duration)
}

// agenda holds events in the order of their time.
type agenda struct {
	events []event
	seq    int
}

func (a *agenda) Len() int { return len(a.events) }
func (a *agenda) Less(i, j int) bool {
	if a.events[i].at != a.events[j].at {
		return a.events[i].at < a.events[j].at
	}
	return a.events[i].seq < a.events[j].seq
}
func (a *agenda) Swap(i, j int) { a.events[i], a.events[j] = a.events[j], a.events[i] }
func (a *agenda) Push(x any)    { a.events = append(a.events, x.(event)) }
func (a *agenda) Pop() any {
	last := a.events[len(a.events)-1]
	a.events = a.events[:len(a.events)-1]
	return last
}

func (a *agenda) add(at time.Duration, work func(now time.Duration)) {
	a.seq++
	heap.Push(a, event{at: at, seq: a.seq, work: work})
}

func (a *agenda) run() {
	for a.Len() > 0 {
		next := heap.Pop(a).(event)
		next.work(next.at)
	}
}

// chooser sends jobs to upstreams.
type chooser interface {
	arrive(s *simulation, now time.Duration, j *job)
	finish(s *simulation, now time.Duration, j *job)
}

// simulation is upstreams with slots and a first-in-first-out line behind them.
type simulation struct {
	agenda
	workload workload
	running  []int
	lines    [][]*job
	jobs     []*job
	chooser  chooser
	end      time.Duration
}

func simulate(w workload, c chooser, jobs []*job, length time.Duration) *simulation {
	s := &simulation{workload: w, running: make([]int, w.upstreams), lines: make([][]*job, w.upstreams), jobs: jobs, chooser: c, end: length}
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

// send gives a job to an upstream, where it waits while no slot is free.
func (s *simulation) send(now time.Duration, j *job, upstream int) {
	j.upstream = upstream
	j.decided = now
	if s.running[upstream] >= s.workload.slots {
		s.lines[upstream] = append(s.lines[upstream], j)
		return
	}
	s.begin(now, j)
}

func (s *simulation) begin(now time.Duration, j *job) {
	s.running[j.upstream]++
	j.started = now
	s.add(now+j.service, func(now time.Duration) {
		j.ended = now
		s.running[j.upstream]--
		if line := s.lines[j.upstream]; len(line) > 0 {
			s.lines[j.upstream] = line[1:]
			s.begin(now, line[0])
		}
		s.chooser.finish(s, now, j)
	})
}

// alone is a daemon that takes two random candidates and the one with fewer own
// requests in flight; with reports, the lower reported load, as old as the
// interval, comes first.
type alone struct {
	random   *rand.Rand
	own      map[string][]int
	reports  bool
	reported []int
}

func newAlone(w workload, reports bool) *alone {
	return &alone{
		random: rand.New(rand.NewPCG(w.seed, 2)), own: make(map[string][]int), reports: reports,
		reported: make([]int, w.upstreams),
	}
}

func (a *alone) arrive(s *simulation, now time.Duration, j *job) {
	own := a.own[j.id.Entry]
	if own == nil {
		own = make([]int, s.workload.upstreams)
		a.own[j.id.Entry] = own
	}
	first, second := a.random.IntN(len(own)), a.random.IntN(len(own))
	busier := own[first] > own[second]
	if a.reports {
		busier = a.reported[first]+own[first] > a.reported[second]+own[second]
	}
	if busier {
		first = second
	}
	own[first]++
	s.send(now, j, first)
}

func (a *alone) finish(_ *simulation, _ time.Duration, j *job) {
	a.own[j.id.Entry][j.upstream]--
}

// tick takes the reported loads each 100 ms.
func (a *alone) tick(s *simulation, now time.Duration) {
	if now%(100*time.Millisecond) != 0 {
		return
	}
	for i := range a.reported {
		a.reported[i] = s.running[i] + len(s.lines[i])
	}
}

// brokered drives the pools of the product.
type brokered struct {
	pools   []*broker.Pool
	byName  map[string]int
	waiting map[broker.GrantID]*job
	budget  func(class model.Class) time.Duration
	next    int
}

// deadlines are those of the examples: 2 s for short work, 30 s for long.
func deadlines(class model.Class) time.Duration {
	if class == model.ClassLong {
		return 30 * time.Second
	}
	return 2 * time.Second
}

func newBrokered(w workload, rule broker.LongRule) *brokered {
	b := &brokered{byName: make(map[string]int), waiting: make(map[broker.GrantID]*job), budget: deadlines}
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
		pool := broker.NewPool(epoch, declared.Key, w.seed+uint64(i), broker.WithLongRule(rule), broker.WithSettledState())
		pool.Configure(epoch, broker.Configuration{Pool: declared, FloorPercent: 60, Entries: w.entries})
		b.pools = append(b.pools, pool)
	}
	return b
}

func (b *brokered) arrive(s *simulation, now time.Duration, j *job) {
	b.next++
	j.pool = b.next % len(b.pools)
	b.ask(s, now, j)
}

func (b *brokered) ask(s *simulation, now time.Duration, j *job) {
	b.waiting[j.id] = j
	b.act(s, now, b.pools[j.pool].Ask(epoch.Add(now), broker.Ask{
		ID: j.id, Route: j.class.String(), Class: j.class, Account: j.account, Repeatable: true,
		Budget: b.budget(j.class) - (now - j.arrived), Redirected: j.hopped,
	}))
}

func (b *brokered) act(s *simulation, now time.Duration, actions []broker.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case broker.Granted:
			j := b.waiting[action.ID]
			delete(b.waiting, action.ID)
			s.send(now, j, b.byName[action.Upstream])
		case broker.Refused:
			j := b.waiting[action.ID]
			delete(b.waiting, action.ID)
			j.refused, j.decided = true, now
		case broker.Redirected:
			j := b.waiting[action.ID]
			j.hopped = true
			for i, pool := range b.pools {
				if pool.Hint(epoch).Pool == action.Pool {
					j.pool = i
				}
			}
			// The entry's round trip to the other zone.
			s.add(now+time.Millisecond, func(now time.Duration) { b.ask(s, now, j) })
		}
	}
}

func (b *brokered) finish(s *simulation, now time.Duration, j *job) {
	b.act(s, now, b.pools[j.pool].Release(epoch.Add(now), broker.Release{
		ID: j.id, Outcome: health.Success, Latency: j.service, Duration: now - j.decided, Load: -1,
	}))
}

// tick ticks the pools and tells their siblings how busy they are.
func (b *brokered) tick(s *simulation, now time.Duration) {
	at := epoch.Add(now)
	for _, pool := range b.pools {
		b.act(s, now, pool.Tick(at))
	}
	if now%(60*time.Millisecond) != 0 {
		return
	}
	for _, pool := range b.pools {
		hint := pool.Hint(at)
		for _, sibling := range b.pools {
			if sibling != pool {
				sibling.TakeHint(at, hint)
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

// waits returns how long jobs of a class waited that began within a time.
func waits(jobs []*job, class model.Class, from, to time.Duration) []time.Duration {
	var found []time.Duration
	for _, j := range jobs {
		if j.class == class && !j.refused && j.arrived >= from && j.arrived < to {
			found = append(found, j.started-j.arrived)
		}
	}
	return found
}
