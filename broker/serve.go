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

// serve grants queued asks while there are slots for them.
func (p *Pool) serve(now time.Time) []Action {
	actions := p.serveSuspects(now)
	for {
		granted, found := p.serveOne(now)
		if !found {
			return actions
		}
		actions = append(actions, granted)
	}
}

func (p *Pool) serveOne(now time.Time) (Action, bool) {
	for _, class := range p.classOrder() {
		if class == model.ClassLong && p.longRun >= p.longLimit(now) {
			continue
		}
		next := p.queues[class].next(p.runningOf, p.withinLimit)
		if next == nil {
			continue
		}
		chosen := p.choose(now, next)
		if chosen == nil {
			continue
		}
		p.queues[class].remove(next.ask.ID)
		return p.grant(next, chosen, false), true
	}
	return nil, false
}

// classOrder puts short work first, except that long work always gets a small
// part of the slots.
func (p *Pool) classOrder() [2]model.Class {
	if _, unbounded := p.longRule.(LongUnbounded); unbounded {
		return p.orderByAge()
	}
	reserved := max(1, p.totalSlots()/longReservePart)
	if p.longRun < reserved {
		return [2]model.Class{model.ClassLong, model.ClassShort}
	}
	return [2]model.Class{model.ClassShort, model.ClassLong}
}

func (p *Pool) orderByAge() [2]model.Class {
	all := func(string) bool { return true }
	short := p.queues[model.ClassShort].next(p.runningOf, all)
	long := p.queues[model.ClassLong].next(p.runningOf, all)
	if long != nil && (short == nil || older(long, short)) {
		return [2]model.Class{model.ClassLong, model.ClassShort}
	}
	return [2]model.Class{model.ClassShort, model.ClassLong}
}

func (p *Pool) runningOf(account string) int {
	return p.running[account]
}

func (p *Pool) withinLimit(account string) bool {
	limit, limited := p.limits[account]
	return !limited || p.running[account] < limit
}

// longLimit returns how many long requests may run at once.
func (p *Pool) longLimit(now time.Time) int {
	total := p.totalSlots()
	most := max(1, total-1)
	switch rule := p.longRule.(type) {
	case LongByDemand:
		spare := math.Floor(float64(total) - shortHeadroom*p.learner.demand(now, model.ClassShort) - 1)
		fair := math.Ceil(float64(total) * p.learner.longPart(now))
		least := max(1, total/longReservePart)
		return min(most, max(least, int(spare), int(fair)))
	case LongFixed:
		return min(most, max(1, int(rule.Share*float64(total))))
	case LongUnbounded:
		return total
	default:
		return most
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

// usableSlots returns the slots that take new work, and those of them that are
// free.
func (p *Pool) usableSlots(now time.Time) (int, int) {
	slots, free := 0, 0
	for _, s := range p.servers {
		if !p.usable(now, s) {
			continue
		}
		slots += s.slots
		free += max(0, p.capacityOf(now, s)-s.running)
	}
	return slots, free
}

func (p *Pool) anyUsable(now time.Time) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool { return p.usable(now, s) })
}

// anyBusy reports whether a healthy upstream takes no work only for a moment,
// because it has shed or runs a suspect.
func (p *Pool) anyBusy(now time.Time) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		state := p.tracker.State(s.name)
		held := s.alone || s.reservedFor != nil || now.Before(s.shedUntil)
		return held && !s.leaving() && (state == health.Healthy || state == health.Cold)
	})
}

// anyPresent reports whether an upstream is there that is neither leaving nor
// avoided.
func (p *Pool) anyPresent(avoid []string) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return !s.leaving() && !slices.Contains(avoid, s.name)
	})
}

func (p *Pool) usable(now time.Time, s *server) bool {
	if s.leaving() || s.alone || s.reservedFor != nil || now.Before(s.shedUntil) {
		return false
	}
	state := p.tracker.State(s.name)
	return state == health.Healthy || state == health.Cold
}

// capacityOf returns how many requests an upstream takes now: half while it is
// cold or while this broker has just begun.
func (p *Pool) capacityOf(now time.Time, s *server) int {
	if now.Before(p.settled) || p.tracker.State(s.name) == health.Cold {
		return (s.slots + 1) / 2
	}
	return s.slots
}

// choose returns the best upstream for an ask, or nil when it has to wait.
func (p *Pool) choose(now time.Time, w *waiting) *server {
	if trial := p.trialFor(now, w); trial != nil {
		return trial
	}
	var best *server
	bestScore := math.Inf(1)
	kept := p.keptBy(w.ask.ID.Entry)
	for _, s := range p.servers {
		if !p.usable(now, s) || s.running >= p.capacityOf(now, s) || slices.Contains(w.ask.Avoid, s.name) {
			continue
		}
		if w.class == model.ClassLong && !s.takesLong() && p.bounded() {
			continue
		}
		if score := p.score(w, s, kept); score < bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil && !p.anyUsable(now) && !p.anyBusy(now) {
		return p.lastResort(w)
	}
	return best
}

func (p *Pool) bounded() bool {
	_, unbounded := p.longRule.(LongUnbounded)
	return !unbounded
}

// The weights of what orders upstreams with a free slot.
const (
	coldPenalty    = 4
	notKeptPenalty = 0.3
	loadWeight     = 0.5
	sickWeight     = 2
	longWeight     = 0.5
	tieWeight      = 0.01
)

func (p *Pool) score(w *waiting, s *server, kept keptServers) float64 {
	score := float64(s.running)/float64(s.slots) + loadWeight*s.load
	if p.tracker.State(s.name) == health.Cold {
		score += coldPenalty
	}
	score += sickWeight * p.tracker.Sickness(s.name)
	if !kept.contains(s.name) {
		score += notKeptPenalty
	}
	if w.class == model.ClassLong {
		score += longWeight * float64(s.long)
	}
	return score + tieWeight*p.random.Float64()
}

// keptServers are the upstreams to which an entry may keep connections; a nil
// list stands for all of them.
type keptServers []string

func (k keptServers) contains(name string) bool {
	return k == nil || slices.Contains(k, name)
}

// keptBy returns what an entry may keep: all while the upstreams' connections
// suffice for all entries, else those that its rank chose.
func (p *Pool) keptBy(entry string) keptServers {
	slots, connections := 0, math.MaxInt
	for _, s := range p.servers {
		slots = max(slots, s.slots)
		connections = min(connections, s.connections)
	}
	bound := int(connectionsShare * float64(connections))
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

// trialFor returns an upstream whose trial takes this ask.
func (p *Pool) trialFor(now time.Time, w *waiting) *server {
	for _, s := range p.servers {
		since, trial := p.tracker.TrialWaiting(s.name)
		if !trial || s.trialRunning || s.leaving() || s.running > 0 {
			continue
		}
		patient := now.Sub(since) < trialPatience
		if (!w.ask.Repeatable || w.class == model.ClassLong) && patient {
			continue
		}
		if !slices.Contains(w.ask.Avoid, s.name) {
			return s
		}
	}
	return nil
}

// lastResort returns an upstream out of use when no other is left, for the
// pool's evidence may be wrong about all of them.
func (p *Pool) lastResort(w *waiting) *server {
	var best *server
	for _, s := range p.servers {
		if s.leaving() || s.alone || s.running >= s.slots || slices.Contains(w.ask.Avoid, s.name) {
			continue
		}
		if best == nil || s.running < best.running {
			best = s
		}
	}
	return best
}

func (p *Pool) grant(w *waiting, s *server, alone bool) Action {
	p.begin(&grant{
		id:          w.ask.ID,
		session:     w.ask.Session,
		server:      s,
		route:       w.ask.Route,
		class:       w.class,
		account:     w.ask.Account,
		fingerprint: w.ask.Fingerprint,
		expires:     w.deadline.Add(grantMargin),
		alone:       alone,
		trial:       p.tracker.State(s.name) == health.Trial,
	})
	return Granted{ID: w.ask.ID, Upstream: s.name, Keep: p.keptBy(w.ask.ID.Entry).contains(s.name)}
}

// serveSuspects runs one suspect at a time on an upstream with nothing else in
// flight, which is emptied for it if need be.
func (p *Pool) serveSuspects(now time.Time) []Action {
	p.queueCleared(now)
	if p.aloneRun || len(p.suspects) == 0 {
		return nil
	}
	next := p.suspects[0]
	s := p.reserve(now, next)
	if s == nil || s.running > 0 {
		return nil
	}
	p.dropSuspect(0)
	return []Action{p.grant(next, s, true)}
}

// queueCleared lets suspects that have been cleared meanwhile wait among the
// others.
func (p *Pool) queueCleared(now time.Time) {
	for i := 0; i < len(p.suspects); {
		candidate := p.suspects[i]
		if p.memory.Standing(now, candidate.ask.Fingerprint) != crash.Clear {
			i++
			continue
		}
		p.dropSuspect(i)
		p.queues[candidate.class].push(candidate)
	}
}

// reserve returns the upstream that is emptied for a suspect.
func (p *Pool) reserve(now time.Time, w *waiting) *server {
	var best *server
	for _, s := range p.servers {
		if s.reservedFor == w {
			return s
		}
		if !p.usable(now, s) || slices.Contains(w.ask.Avoid, s.name) {
			continue
		}
		if best == nil || s.running < best.running {
			best = s
		}
	}
	if best != nil {
		best.reservedFor = w
	}
	return best
}

// betterSibling returns the sibling pool with the least wait, when it is well
// below this pool's.
func (p *Pool) betterSibling(now time.Time, wait time.Duration) (string, bool) {
	best, found := Hint{}, false
	for _, sibling := range p.siblings {
		if now.Sub(sibling.at) > hintFreshness || sibling.hint.Wait*2 >= wait {
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
		taken := p.siblings[best.Pool]
		taken.hint.Free--
		p.siblings[best.Pool] = taken
	}
	return best.Pool, found
}

// compareHints puts the least busy pool first.
func compareHints(a, b Hint) int {
	return cmp.Or(cmp.Compare(a.Wait, b.Wait), cmp.Compare(b.Free, a.Free), cmp.Compare(a.Pool, b.Pool))
}
