package slots

import (
	"context"
	"time"

	"dandeliondoor/choose"
	"dandeliondoor/queue"
	"dandeliondoor/wire"
)

const (
	// dispatchInterval is how often waiting asks are assigned although no attempt ended:
	// attempts expire and reports of the servers' load become too old.
	dispatchInterval = 25 * time.Millisecond
	// creditRetryInterval is how often a waiting ask asks for credit again. It is shorter than
	// the time for which credit.Wallet counts a request as waiting.
	creditRetryInterval = 20 * time.Millisecond
	// reviewInterval is how often asks are refused that cannot be served in time any more.
	reviewInterval = 100 * time.Millisecond
	// retriesInterval is how often the metrics of retries are updated.
	retriesInterval = time.Second
)

// line holds the asks that wait for the servers of a pool.
type line struct {
	queue      *queue.Queue
	waiters    map[queue.Key]*waiter
	reviewedAt time.Time
}

// waiter is a queued ask. Session is the connection that it came over, nil within the
// process. CreditUntil is the time until which the ask waits for credit of its account.
// Decide receives the decision, nil if this daemon no longer decides.
type waiter struct {
	request     AskRequest
	session     *wire.Session
	queuedAt    time.Time
	creditUntil time.Time
	decide      func(decision choose.Decision)
}

// ask returns the ask as of a time.
func (w *waiter) ask(now time.Time) choose.Ask { return aged(w.request.Ask, now.Sub(w.queuedAt)) }

// aged returns an ask after a wait.
func aged(ask choose.Ask, waited time.Duration) choose.Ask {
	ask.Age, ask.Left = ask.Age+waited, ask.Left-waited
	return ask
}

// WithQueue makes asks wait at the broker for room, in the order of package queue.
func WithQueue(metrics *QueueMetrics) BrokerOption {
	return func(b *Broker) {
		b.lines, b.metrics = make(map[PoolKey]*line), metrics
		b.presences.daemons = make(map[string]*presence)
	}
}

// Queues reports whether asks wait at the broker.
func (b *Broker) Queues() bool { return b.lines != nil }

// Enqueue selects a server for an attempt, or queues the ask if it may wait and must. Then
// decide is called once with the decision, or with nil if this daemon no longer decides. It
// runs with the mutex held, so that it must not block nor call the broker. Session is the connection of the asking daemon,
// nil within the process.
func (b *Broker) Enqueue(now time.Time, request AskRequest, session *wire.Session, decide func(choose.Decision)) choose.Decision {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	pool := b.pool(now, request.Pool)
	l, known := b.lines[request.Pool]
	if !known {
		l = &line{queue: queue.New(now), waiters: make(map[queue.Key]*waiter)}
		b.lines[request.Pool] = l
	}
	ask := queuedAsk(now, pool, request.Ask)
	l.queue.Demand(now, &ask)
	b.dispatch(now, request.Pool, pool)
	decision := b.decideNow(now, l, pool, request)
	if !request.Wait || !mustWait(now, decision, &ask) {
		b.metrics.decided(decision, request.Ask.Priority, 0)
		l.record(now, &ask, decision)
		return decision
	}
	w := &waiter{
		request: request, session: session, queuedAt: now, creditUntil: now.Add(pool.CreditWait(request.Ask)), decide: decide,
	}
	return b.queue(now, l, ask, pool.Room(now).Total, w)
}

// mustWait reports whether a decision means that the ask waits. It holds the ask back while
// credit of its account is on its way.
func mustWait(now time.Time, decision choose.Decision, ask *queue.Ask) bool {
	refused, isRefused := decision.(choose.Refused)
	switch {
	case !isRefused:
		return false
	case refused.Reason == choose.ReasonPending:
		ask.HeldUntil = now.Add(min(refused.RetryAfter, creditRetryInterval))
		return true
	default:
		return refused.Reason == choose.ReasonOverload
	}
}

// decideNow returns the decision on an ask that does not wait, Overload if it must. Waiting
// asks have been assigned before as far as there is room for them.
func (b *Broker) decideNow(now time.Time, l *line, pool *choose.Pool, request AskRequest) choose.Decision {
	switch {
	case !pool.HasServer(request.Ask):
		return choose.Refused{Reason: choose.ReasonNoServer}
	case request.Ask.Repeat && !pool.MayRepeat(now, request.Ask, l.queue.Repeats()):
		return choose.Refused{Reason: choose.ReasonBudget}
	case !pool.HasRoom(now, request.Ask), !request.Wait && l.queue.Len() > 0:
		return choose.Refused{Reason: choose.ReasonOverload, RetryAfter: pool.ExpectedDuration(request.Ask.Route)}
	default:
		return b.assign(now, pool, request.Ask)
	}
}

// queue adds an ask to the queue, or refuses it if its turn comes too late. Room is the
// number of attempts that the servers can hold.
func (b *Broker) queue(now time.Time, l *line, ask queue.Ask, room int, w *waiter) choose.Decision {
	if repeated, known := l.waiters[ask.Key]; known {
		l.remove(ask.Key, repeated)
	}
	switch result := l.queue.Add(now, ask, room).(type) {
	case queue.Queued:
		l.waiters[ask.Key] = w
		if result.Evicted != nil {
			b.settle(now, l, result.Evicted, choose.Refused{Reason: choose.ReasonOverload, RetryAfter: result.After})
		}
		return choose.Queued{Position: result.Position, Wait: result.Wait}
	case queue.Rejected:
		refused := choose.Refused{Reason: choose.ReasonOverload, RetryAfter: result.Wait}
		l.record(now, &ask, refused)
		b.metrics.decided(refused, ask.Priority, 0)
		return refused
	default:
		return choose.Refused{Reason: choose.ReasonOverload}
	}
}

// queuedAsk returns what the queue has to know of an ask.
func queuedAsk(now time.Time, pool *choose.Pool, ask choose.Ask) queue.Ask {
	return queue.Ask{
		Key: queue.Key{Daemon: ask.Daemon, Ticket: ask.Ticket}, Account: ask.Account, Route: ask.Route, Priority: ask.Priority,
		Repeat: ask.Repeat, Request: uint64(ask.Identity.Caller), Work: pool.ExpectedDuration(ask.Route),
		Objective: now.Add(ask.Objective - ask.Age), Deadline: now.Add(ask.Left),
	}
}

// dispatch assigns servers to waiting asks as far as there is room.
func (b *Broker) dispatch(now time.Time, key PoolKey, pool *choose.Pool) {
	l, known := b.lines[key]
	if !known {
		return
	}
	for l.queue.Len() > 0 {
		room := pool.Room(now)
		if len(room.Free) == 0 {
			return
		}
		var decision choose.Decision
		placed := l.queue.Next(now, func(ask *queue.Ask) bool {
			decision = b.place(now, l, pool, room, ask)
			return decision != nil
		})
		if placed == nil {
			return
		}
		b.settle(now, l, placed, decision)
	}
}

// unableDecision means that the ask leaves the queue without a decision.
type unableDecision struct{ choose.Refused }

// place returns the decision on a waiting ask, nil if it still has to wait.
func (b *Broker) place(now time.Time, l *line, pool *choose.Pool, room choose.Room, ask *queue.Ask) choose.Decision {
	w := l.waiters[ask.Key]
	if w.session != nil && w.session.Silence(now) > silenceLimit {
		return unableDecision{}
	}
	if !room.Fits(w.request.Ask) {
		return nil
	}
	decision := b.assign(now, pool, w.ask(now))
	if refused, isRefused := decision.(choose.Refused); isRefused && refused.Reason == choose.ReasonPending &&
		!now.Before(w.creditUntil) {
		return decision
	}
	if mustWait(now, decision, ask) {
		return nil
	}
	return decision
}

// record counts the decision on an ask.
func (l *line) record(now time.Time, ask *queue.Ask, decision choose.Decision) {
	switch decision.(type) {
	case choose.Granted:
		l.queue.Served(now, ask)
	case choose.Refused:
		l.queue.Refused(now, ask.Request)
	default:
	}
}

// settle passes on the decision on an ask that has left the queue.
func (b *Broker) settle(now time.Time, l *line, ask *queue.Ask, decision choose.Decision) {
	w := l.waiters[ask.Key]
	delete(l.waiters, ask.Key)
	l.record(now, ask, decision)
	if _, isUnable := decision.(unableDecision); isUnable {
		decision = nil
	}
	b.metrics.decided(decision, w.request.Ask.Priority, now.Sub(w.queuedAt))
	w.decide(decision)
}

// Cancel removes a queued ask, or ends its attempt if a server was assigned meanwhile. It
// reports whether there was either.
func (b *Broker) Cancel(now time.Time, request TicketRequest) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	key := queue.Key{Daemon: request.Daemon, Ticket: request.Ticket}
	if l, known := b.lines[request.Pool]; known {
		if w, isWaiting := l.waiters[key]; isWaiting {
			l.remove(key, w)
			return true
		}
	}
	pool, known := b.pools[request.Pool]
	if !known || !pool.Withdraw(request.Daemon, request.Ticket) {
		return false
	}
	b.dispatch(now, request.Pool, pool)
	return true
}

// ReleaseRemote ends the wait of the asks of other daemons, which then ask the next broker.
func (b *Broker) ReleaseRemote() {
	b.removeIf(func(w *waiter) bool { return w.session != nil })
}

func (b *Broker) removeIf(isRemoved func(w *waiter) bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.removeWaiters(isRemoved)
}

func (b *Broker) removeWaiters(isRemoved func(w *waiter) bool) {
	for _, l := range b.lines {
		for key, w := range l.waiters {
			if isRemoved(w) {
				l.remove(key, w)
			}
		}
	}
}

// remove ends the wait of an ask without a decision.
func (l *line) remove(key queue.Key, w *waiter) {
	l.queue.Remove(key)
	delete(l.waiters, key)
	w.decide(nil)
}

// closeLine ends the wait of all asks of a pool that has been retired.
func (b *Broker) closeLine(pool PoolKey) {
	l, known := b.lines[pool]
	if !known {
		return
	}
	for key, w := range l.waiters {
		l.remove(key, w)
	}
	delete(b.lines, pool)
}

// Waiting returns the number of waiting asks.
func (b *Broker) Waiting() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	count := 0
	for _, l := range b.lines {
		count += l.queue.Len()
	}
	return count
}

// Run assigns servers to waiting asks until the context ends.
func (b *Broker) Run(ctx context.Context) error {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			b.Tick(now)
		}
	}
}

// Tick assigns servers to waiting asks as far as there is room, refuses those that cannot
// be served in time any more, and gives back the room of lost daemons.
func (b *Broker) Tick(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.judge(now)
	for key, l := range b.lines {
		if l.queue.Len() == 0 {
			continue
		}
		pool := b.pool(now, key)
		b.dispatch(now, key, pool)
		if now.Sub(l.reviewedAt) >= reviewInterval {
			l.reviewedAt = now
			b.review(now, l, pool)
		}
	}
	b.metrics.setDepth(b.lines)
	if now.Sub(b.retriesAt) >= retriesInterval {
		b.retriesAt = now
		b.metrics.setRetries(now, b.pools)
	}
	b.metrics.setTicked(now)
}

// review refuses the asks that cannot be served in time any more, and those that no server
// may run since servers have left.
func (b *Broker) review(now time.Time, l *line, pool *choose.Pool) {
	for _, late := range l.queue.Review(now, pool.Room(now).Total) {
		b.settle(now, l, late.Ask, choose.Refused{Reason: choose.ReasonOverload, RetryAfter: late.Wait})
	}
	for key, w := range l.waiters {
		if !pool.HasServer(w.request.Ask) {
			ask := l.queue.Find(key)
			l.queue.Remove(key)
			b.settle(now, l, ask, choose.Refused{Reason: choose.ReasonNoServer})
		}
	}
}
