package slots

import (
	"maps"
	"sync"
	"time"

	"dandeliondoor/choose"
	"dandeliondoor/wire"
)

const (
	// claimMargin is how long after the deadline of its request a decision is kept for the
	// daemon that asked.
	claimMargin = time.Second
	// cancelPeriod is how long a cancellation is kept for an ask that was sent before it.
	// Both are in the same stream, so only the order of the goroutines delays the ask.
	cancelPeriod = time.Second
	// maxCancels bounds the cancellations that are kept for a connection.
	maxCancels = 1024
)

// Assigner decides on the asks of other daemons. Broker is one.
type Assigner interface {
	Ask(now time.Time, request AskRequest) choose.Decision
	Enqueue(now time.Time, request AskRequest, session *wire.Session, decide func(choose.Decision)) choose.Decision
	Cancel(now time.Time, request TicketRequest) bool
	Leave(now time.Time, session *wire.Session)
}

var _ Assigner = &Broker{}

// Tickets holds the state of the asks of one connection, from their arrival or that of their
// cancellation until their decisions are fetched. net/rpc runs each call in a goroutine of its
// own, so that the calls for an ask may be processed in any order and at the same time. It
// does not call the assigner with its mutex held, and is safe for concurrent use.
type Tickets struct {
	assigner Assigner
	session  *wire.Session

	mutex     sync.Mutex
	byID      map[TicketRequest]*ticket
	cancelled map[TicketRequest]time.Time
	isEnded   bool
	sweptAt   time.Time
}

// ticket is an ask that is being processed or is queued.
type ticket struct {
	expiresAt time.Time
	// isAsking is set until the assigner has replied, and isEnded once the decision is not
	// wanted any more. The mutex of Tickets guards both.
	isAsking bool
	isEnded  bool

	once     sync.Once
	decision choose.Decision
	decided  chan struct{}
}

func newTicket(expiresAt time.Time) *ticket {
	return &ticket{expiresAt: expiresAt, isAsking: true, decided: make(chan struct{})}
}

// decide sets the decision unless there is one. It never blocks, since the assigner calls it
// with its mutex held.
func (t *ticket) decide(decision choose.Decision) {
	t.once.Do(func() {
		t.decision = decision
		close(t.decided)
	})
}

// NewTickets returns the state of a connection without asks. End must be called when the
// connection ends.
func NewTickets(assigner Assigner, session *wire.Session) *Tickets {
	return &Tickets{
		assigner: assigner, session: session, byID: make(map[TicketRequest]*ticket), cancelled: make(map[TicketRequest]time.Time),
	}
}

// ticketOf returns what refers to an ask.
func ticketOf(request AskRequest) TicketRequest {
	return TicketRequest{Pool: request.Pool, Daemon: request.Ask.Daemon, Ticket: request.Ask.Ticket}
}

// Ask asks the assigner and keeps the ticket if the ask is queued. It returns nil if the ask
// was cancelled or its connection ended, before the decision or at the same time, and if it
// repeats one that is being processed.
func (t *Tickets) Ask(now time.Time, request AskRequest) choose.Decision {
	id := ticketOf(request)
	added, overdue := t.begin(now, id, now.Add(request.Ask.Left+claimMargin))
	t.endAll(now, overdue)
	if added == nil {
		return nil
	}
	var decision choose.Decision
	if request.Wait {
		decision = t.assigner.Enqueue(now, request, t.session, added.decide)
	} else {
		decision = t.assigner.Ask(now, request)
	}
	if t.finish(id, added, decision) {
		return decision
	}
	t.assigner.Cancel(time.Now(), id)
	return nil
}

// begin adds a ticket, and returns nil if the ask must not be processed. It also removes and
// returns the tickets whose decision nobody has fetched in time.
func (t *Tickets) begin(now time.Time, id TicketRequest, expiresAt time.Time) (added *ticket, overdue []releasedTicket) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	overdue = t.sweep(now)
	_, isCancelled := t.cancelled[id]
	delete(t.cancelled, id)
	_, isRepeated := t.byID[id]
	if isCancelled || isRepeated || t.isEnded {
		return nil, overdue
	}
	added = newTicket(expiresAt)
	t.byID[id] = added
	return added, overdue
}

// finish records that the assigner has replied, and reports whether the decision is still wanted.
func (t *Tickets) finish(id TicketRequest, asked *ticket, decision choose.Decision) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	asked.isAsking = false
	if _, isQueued := decision.(choose.Queued); !isQueued && !asked.isEnded {
		delete(t.byID, id)
		asked.decide(nil)
	}
	return !asked.isEnded
}

// Await returns the decision on a queued ask, nil if this daemon does not decide on it.
func (t *Tickets) Await(id TicketRequest) choose.Decision {
	t.mutex.Lock()
	waiting, known := t.byID[id]
	t.mutex.Unlock()
	if !known {
		return nil
	}
	<-waiting.decided
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if waiting.isEnded {
		return nil
	}
	delete(t.byID, id)
	return waiting.decision
}

// Cancel ends an ask, the wait for its decision, or its attempt. If the ask has not arrived
// yet, it is not processed when it does.
func (t *Tickets) Cancel(now time.Time, id TicketRequest) {
	t.mutex.Lock()
	cancelled, known := t.byID[id]
	if known {
		released := t.release(id, cancelled)
		t.mutex.Unlock()
		t.endAll(now, []releasedTicket{released})
		return
	}
	t.keepCancel(now, id)
	t.mutex.Unlock()
	if t.assigner.Cancel(now, id) {
		t.mutex.Lock()
		delete(t.cancelled, id)
		t.mutex.Unlock()
	}
}

// End ends all asks of the connection, also those that got a server which nobody has fetched.
func (t *Tickets) End(now time.Time) {
	t.mutex.Lock()
	t.isEnded = true
	var ended []releasedTicket
	for id, waiting := range t.byID {
		ended = append(ended, t.release(id, waiting))
	}
	t.mutex.Unlock()
	t.assigner.Leave(now, t.session)
	t.endAll(now, ended)
}

// releasedTicket is a ticket whose decision is not wanted any more. WasAsking is set if the
// assigner had not replied then, so that Ask ends what it decides.
type releasedTicket struct {
	id        TicketRequest
	ticket    *ticket
	wasAsking bool
}

// release removes a ticket. The caller holds the mutex, and passes the result to endAll when it
// no longer does.
func (t *Tickets) release(id TicketRequest, released *ticket) releasedTicket {
	released.isEnded = true
	delete(t.byID, id)
	return releasedTicket{id: id, ticket: released, wasAsking: released.isAsking}
}

// endAll ends the waits for the decisions on released tickets, and their queued asks or attempts.
func (t *Tickets) endAll(now time.Time, released []releasedTicket) {
	for _, r := range released {
		r.ticket.decide(nil)
		if !r.wasAsking {
			t.assigner.Cancel(now, r.id)
		}
	}
}

// keepCancel keeps a cancellation for an ask that has not arrived. The caller holds the mutex.
func (t *Tickets) keepCancel(now time.Time, id TicketRequest) {
	if len(t.cancelled) >= maxCancels {
		t.dropCancels(now)
	}
	if len(t.cancelled) < maxCancels {
		t.cancelled[id] = now
	}
}

// dropCancels drops old cancellations. The caller holds the mutex.
func (t *Tickets) dropCancels(now time.Time) {
	maps.DeleteFunc(t.cancelled, func(_ TicketRequest, at time.Time) bool { return now.Sub(at) > cancelPeriod })
}

// sweep drops old cancellations, and removes and returns the tickets whose decision nobody has
// fetched in time. The caller holds the mutex.
func (t *Tickets) sweep(now time.Time) []releasedTicket {
	if now.Sub(t.sweptAt) < claimMargin {
		return nil
	}
	t.sweptAt = now
	t.dropCancels(now)
	var overdue []releasedTicket
	for id, waiting := range t.byID {
		if now.After(waiting.expiresAt) {
			overdue = append(overdue, t.release(id, waiting))
		}
	}
	return overdue
}
