package queue

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxWaiting bounds the waiting asks of a pool. A part has up to 200 servers and at most
// some 500 assignments/s; an ask with a deadline of 3 s waits behind at most 1,500.
const maxWaiting = 1500

// reviewMargin is how many times the time that is left the expected wait of a waiting ask
// must be for its refusal, since the estimate varies from moment to moment.
const reviewMargin = 2

// maxRefused bounds the refused requests that are remembered.
const maxRefused = 4096

// Queue holds the waiting asks of one pool. It is not safe for concurrent use.
type Queue struct {
	groups     map[groupKey]*group
	asks       map[Key]*Ask
	accounts   meters[string]
	routes     meters[string]
	priorities meters[int]
	total      meter
	scale      scale
	fairLevel  float64
	levelAt    time.Time
	repeats    int
	refused    map[uint64]time.Time
	limit      int
}

// New returns an empty queue.
func New(now time.Time) *Queue {
	return &Queue{
		groups: make(map[groupKey]*group), asks: make(map[Key]*Ask), accounts: newMeters[string](), routes: newMeters[string](),
		priorities: newMeters[int](), refused: make(map[uint64]time.Time), scale: scale{start: now}, limit: maxWaiting,
	}
}

// Result is the outcome of Add: Queued or Rejected.
type Result interface{ isResult() }

// Queued means that the ask waits. Position is the number of asks before it, Wait the
// expected time until its turn, and Evicted the last ask in the order if the queue was
// full, with the time until it could have been served.
type Queued struct {
	Position int
	Wait     time.Duration
	Evicted  *Ask
	After    time.Duration
}

// Rejected means that the turn of the ask comes too late for it. Wait is the time until
// room is expected for it.
type Rejected struct{ Wait time.Duration }

var (
	_ Result = Queued{}
	_ Result = Rejected{}
)

func (Queued) isResult() {}

func (Rejected) isResult() {}

// Len returns the number of waiting asks.
func (q *Queue) Len() int { return len(q.asks) }

// Repeats returns the number of waiting asks that are retries.
func (q *Queue) Repeats() int { return q.repeats }

// Waiting returns the number of waiting asks by priority.
func (q *Queue) Waiting() map[int]int {
	waiting := make(map[int]int)
	for key, g := range q.groups {
		waiting[key.priority] += len(g.asks)
	}
	return waiting
}

// Find returns a waiting ask, or nil.
func (q *Queue) Find(key Key) *Ask { return q.asks[key] }

// Refused records that a request was refused.
func (q *Queue) Refused(now time.Time, request uint64) {
	if request == 0 {
		return
	}
	if len(q.refused) >= maxRefused {
		maps.DeleteFunc(q.refused, func(_ uint64, at time.Time) bool { return now.Sub(at) > shareTime })
	}
	if len(q.refused) < maxRefused {
		q.refused[request] = now
	}
}

// Demand counts an ask, whether it waits or not. It counts a request that was refused only
// once, since callers that return at once would otherwise seem to have more demand.
func (q *Queue) Demand(now time.Time, ask *Ask) {
	at, refused := q.refused[ask.Request]
	delete(q.refused, ask.Request)
	if refused && now.Sub(at) <= shareTime {
		return
	}
	work := ask.Work.Seconds() * q.weight(now)
	q.total.demand += work
	for _, m := range q.countsOf(ask.group()).each() {
		m.demand += work
	}
}

// Served counts an ask that got a server, whether it waited or not.
func (q *Queue) Served(now time.Time, ask *Ask) {
	work := ask.Work.Seconds() * q.weight(now)
	q.total.service += work
	for _, m := range q.countsOf(ask.group()).each() {
		m.service += work
	}
}

// weight returns the weight of new values, after a restart of the scale if that is due.
func (q *Queue) weight(now time.Time) float64 {
	weight := q.scale.weight(now)
	if now.Sub(q.scale.start) < rescaleTime {
		return weight
	}
	q.total.divide(weight)
	q.accounts.divide(weight)
	q.routes.divide(weight)
	q.priorities.divide(weight)
	q.scale.start, q.levelAt = now, time.Time{}
	return 1
}

func (a *Ask) group() groupKey {
	return groupKey{account: a.Account, route: a.Route, priority: a.Priority}
}

// countsOf returns the meters of a group.
func (q *Queue) countsOf(key groupKey) counts {
	if g, found := q.groups[key]; found {
		return g.counts
	}
	return counts{account: q.accounts.at(key.account), route: q.routes.at(key.route), priority: q.priorities.at(key.priority)}
}

// Add adds an ask unless its turn comes too late. Room is the number of attempts that the
// servers can hold at the same time.
func (q *Queue) Add(now time.Time, ask Ask, room int) Result {
	position, wait := q.estimate(now, &ask, room)
	if now.Add(wait).After(ask.LatestStart()) {
		return Rejected{Wait: wait}
	}
	q.insert(&ask)
	result := Queued{Position: position, Wait: wait}
	if len(q.asks) > q.limit {
		evicted := q.last(now)
		q.Remove(evicted.Key)
		_, after := q.estimate(now, evicted, room)
		if evicted == &ask {
			return Rejected{Wait: after}
		}
		result.Evicted, result.After = evicted, after
	}
	return result
}

func (q *Queue) insert(ask *Ask) {
	key := ask.group()
	g, found := q.groups[key]
	if !found {
		g = &group{key: key, counts: q.countsOf(key)}
		q.groups[key] = g
	}
	g.asks = append(g.asks, ask)
	g.work += ask.Work.Seconds()
	q.asks[ask.Key] = ask
	if ask.Repeat {
		q.repeats++
	}
	for _, m := range g.counts.each() {
		m.waiting++
	}
}

// Remove removes an ask and reports whether it waited.
func (q *Queue) Remove(key Key) bool {
	ask, found := q.asks[key]
	if !found {
		return false
	}
	delete(q.asks, key)
	if ask.Repeat {
		q.repeats--
	}
	g := q.groups[ask.group()]
	g.asks = slices.DeleteFunc(g.asks, func(other *Ask) bool { return other == ask })
	g.work -= ask.Work.Seconds()
	for _, m := range g.counts.each() {
		m.waiting--
	}
	if len(g.asks) == 0 {
		delete(q.groups, g.key)
	}
	return true
}

// Next offers the waiting asks in order until place accepts one, and returns that one
// removed from the queue, or nil. It passes over asks that are held.
func (q *Queue) Next(now time.Time, place func(ask *Ask) bool) *Ask {
	left := q.ranked(now)
	for len(left) > 0 {
		var asks []*Ask
		asks, left = first(left)
		for i := 0; i < len(asks); i++ {
			switch i {
			case 0:
				// The first is usually accepted, so the others are not sorted before.
				least := slices.Index(asks, slices.MinFunc(asks, func(a, b *Ask) int { return a.compare(now, b) }))
				asks[0], asks[least] = asks[least], asks[0]
			case 1:
				slices.SortFunc(asks[1:], func(a, b *Ask) int { return a.compare(now, b) })
			}
			if ask := asks[i]; !now.Before(ask.HeldUntil) && place(ask) {
				q.Remove(ask.Key)
				return ask
			}
		}
	}
	return nil
}

// rankedGroup is a group with its rank.
type rankedGroup struct {
	rank  rank
	group *group
}

func (r rankedGroup) compare(other rankedGroup) int {
	return cmp.Or(r.rank.compare(other.rank), cmp.Compare(r.group.key.account, other.group.key.account))
}

// ranked returns all groups with their ranks, unsorted.
func (q *Queue) ranked(now time.Time) []rankedGroup {
	level := q.level(now)
	groups := make([]rankedGroup, 0, len(q.groups))
	for _, g := range q.groups {
		groups = append(groups, rankedGroup{rank: q.rank(level, g.key.priority, g.counts), group: g})
	}
	return groups
}

// first returns the asks that come first, which are of one account and priority, and the
// groups with the others.
func first(groups []rankedGroup) ([]*Ask, []rankedGroup) {
	least := slices.MinFunc(groups, rankedGroup.compare)
	var asks []*Ask
	left := groups[:0]
	for _, g := range groups {
		if g.compare(least) == 0 {
			asks = append(asks, g.group.asks...)
			continue
		}
		left = append(left, g)
	}
	return asks, left
}

// last returns the last ask in the order.
func (q *Queue) last(now time.Time) *Ask {
	groups := q.ranked(now)
	last := slices.MaxFunc(groups, rankedGroup.compare)
	var ask *Ask
	for _, g := range groups {
		if g.compare(last) != 0 {
			continue
		}
		for _, other := range g.group.asks {
			if ask == nil || other.compare(now, ask) > 0 {
				ask = other
			}
		}
	}
	return ask
}

// rank returns the rank of asks with some priority and counts; level is the fair share.
func (q *Queue) rank(level float64, priority int, counts counts) rank {
	r := rank{starved: 1, priority: priority, service: counts.account.service}
	if counts.account.service > level {
		r.beyond = 1
	}
	for _, m := range counts.each() {
		if m.service*q.total.demand < guardShare*m.demand*q.total.service {
			r.starved = 0
		}
	}
	return r
}

// level returns the fair share of an account, weighted as the meters are.
func (q *Queue) level(now time.Time) float64 {
	weight := q.weight(now)
	if now.Sub(q.levelAt) >= levelInterval {
		q.accounts.sweep(weight)
		q.routes.sweep(weight)
		q.priorities.sweep(weight)
		q.fairLevel, q.levelAt = q.accounts.level(q.total.service), now
	}
	return q.fairLevel
}

// estimate returns how many asks come before an ask and the expected time until its turn.
func (q *Queue) estimate(now time.Time, ask *Ask, room int) (position int, wait time.Duration) {
	key := ask.group()
	own := rankedGroup{rank: q.rank(q.level(now), key.priority, q.countsOf(key)), group: &group{key: key}}
	ahead, work := 0, 0.0
	if g, found := q.groups[key]; found {
		for _, other := range g.asks {
			if other != ask && other.compare(now, ask) < 0 {
				ahead++
				work += other.Work.Seconds()
			}
		}
	}
	return q.turn(now, own, q.ranked(now), ahead, work, ask.Work, room)
}

// turn returns the position and the expected wait of an ask with some asks of its own group
// and their work ahead. Equal accounts take turns, so that of another group of the same
// class only as much counts as of the own.
func (q *Queue) turn(
	now time.Time, own rankedGroup, groups []rankedGroup, ahead int, aheadWork float64, askWork time.Duration, room int,
) (position int, wait time.Duration) {
	position, work := ahead, aheadWork
	for _, g := range groups {
		if g.group.key == own.group.key {
			continue
		}
		switch order := g.rank.compareClass(own.rank); {
		case order < 0:
			position += len(g.group.asks)
			work += g.group.work
		case order == 0:
			position += min(len(g.group.asks), ahead+1)
			work += min(g.group.work, aheadWork+askWork.Seconds())
		}
	}
	seconds := min(work/q.rate(now, own, room), maxWait.Seconds())
	return position, time.Duration(seconds * float64(time.Second))
}

// maxWait bounds estimated waits.
const maxWait = time.Minute

// rate returns how many seconds of work per second are assigned to asks of some rank and
// better ones that wait: the room, less what newly arriving asks of better priorities need.
func (q *Queue) rate(now time.Time, own rankedGroup, room int) float64 {
	perSecond := 1 / (q.weight(now) * shareTime.Seconds())
	rate := max(float64(room), q.total.service*perSecond, 1)
	if own.rank.starved == 0 {
		return rate
	}
	better, equal := 0.0, 0.0
	for priority, m := range q.priorities.byKey {
		switch {
		case priority < own.rank.priority:
			better += m.demand * perSecond
		case priority == own.rank.priority:
			equal = m.demand
		}
	}
	lowest := guardShare * rate
	if q.total.demand > 0 {
		lowest *= equal / q.total.demand
	}
	return max(rate-better, lowest, 1/maxWait.Seconds())
}

// Late is a waiting ask that cannot be served in time. Wait is the expected time until
// room for it.
type Late struct {
	Ask  *Ask
	Wait time.Duration
}

// Review removes and returns the asks that can no longer be served in time: their latest
// useful start has passed, or their turn comes far too late since room was lost.
func (q *Queue) Review(now time.Time, room int) []Late {
	var late []Late
	groups := q.ranked(now)
	for _, g := range groups {
		slices.SortFunc(g.group.asks, func(a, b *Ask) int { return a.compare(now, b) })
		work := 0.0
		for i, ask := range g.group.asks {
			_, wait := q.turn(now, g, groups, i, work, ask.Work, room)
			work += ask.Work.Seconds()
			if left := ask.LatestStart().Sub(now); left < 0 || wait > reviewMargin*left {
				late = append(late, Late{Ask: ask, Wait: wait})
			}
		}
	}
	slices.SortFunc(late, func(a, b Late) int { return a.Ask.compareKey(b.Ask) })
	for _, l := range late {
		q.Remove(l.Ask.Key)
	}
	return late
}

// Keys returns the keys of all waiting asks.
func (q *Queue) Keys() []Key {
	keys := make([]Key, 0, len(q.asks))
	for key := range q.asks {
		keys = append(keys, key)
	}
	return keys
}
