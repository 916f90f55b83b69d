package simul

import (
	"container/heap"
	"time"
)

// event is an action at a simulated time. Events at the same time are handled in
// the order in which they were added.
type event struct {
	at     time.Duration
	seq    int
	handle func()
}

// eventQueue is a heap of events ordered by time.
type eventQueue struct {
	events []event
	seq    int
}

var _ heap.Interface = &eventQueue{}

// Len implements heap.Interface.
func (q *eventQueue) Len() int { return len(q.events) }

// Less implements heap.Interface.
func (q *eventQueue) Less(i, j int) bool {
	if q.events[i].at != q.events[j].at {
		return q.events[i].at < q.events[j].at
	}
	return q.events[i].seq < q.events[j].seq
}

// Swap implements heap.Interface.
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(value any) {
	if e, isEvent := value.(event); isEvent {
		q.events = append(q.events, e)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

// add schedules an action.
func (q *eventQueue) add(at time.Duration, handle func()) {
	q.seq++
	heap.Push(q, event{at: at, seq: q.seq, handle: handle})
}

// next removes and returns the earliest event, and whether there was one.
func (q *eventQueue) next() (event, bool) {
	if q.Len() == 0 {
		return event{}, false
	}
	e, isEvent := heap.Pop(q).(event)
	return e, isEvent
}
