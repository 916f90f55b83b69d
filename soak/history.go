package soak

import (
	"slices"
	"sync"
	"time"
)

// markKind is a kind of event that the check for lost requests takes into account.
type markKind int

// The kinds of marks. The first three are unplanned disturbances, the next three planned
// maintenance. The others detail these: a daemon that loses its memory or is paused, and
// paths to a daemon or a server that lose data.
const (
	storeDisturbed markKind = iota
	daemonDisturbed
	serverDisturbed
	daemonStopped
	daemonReloaded
	configPublished
	daemonReset
	daemonCut
	serverCut
)

// mark names what an event concerns: a daemon or a server by its name.
type mark struct {
	kind markKind
	name string
}

// span is the time of one event. End is zero while the event lasts.
type span struct {
	mark  mark
	begin time.Time
	end   time.Time
}

// history records the disturbances and the maintenance of a soak.
type history struct {
	mutex sync.Mutex
	spans []*span
}

// begin records that an event has begun, by its marks, and returns the function that ends it.
func (h *history) begin(now time.Time, marks ...mark) (end func(now time.Time)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	first := len(h.spans)
	for _, m := range marks {
		h.spans = append(h.spans, &span{mark: m, begin: now})
	}
	spans := h.spans[first:]
	return func(now time.Time) {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		for _, s := range spans {
			s.end = now
		}
	}
}

// endAll ends all events that last.
func (h *history) endAll(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, s := range h.spans {
		if s.end.IsZero() {
			s.end = now
		}
	}
}

// overlapping returns the events of a mark that overlap a period.
func (h *history) overlapping(m mark, from, to time.Time) []span {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var found []span
	for _, s := range h.spans {
		if s.mark == m && !s.begin.After(to) && (s.end.IsZero() || !s.end.Before(from)) {
			found = append(found, *s)
		}
	}
	return found
}

// overlapsAny reports whether an event of one of the marks overlaps a period.
func (h *history) overlapsAny(from, to time.Time, marks ...mark) bool {
	return slices.ContainsFunc(marks, func(m mark) bool { return len(h.overlapping(m, from, to)) > 0 })
}

// marks returns the marks of several kinds of one daemon or server.
func marks(name string, kinds ...markKind) []mark {
	found := make([]mark, len(kinds))
	for i, kind := range kinds {
		found[i] = mark{kind: kind, name: name}
	}
	return found
}

// marksOf returns what a fault disturbs. Restarts and changes of the configuration are
// recorded when they occur.
func (f *fleet) marksOf(fault Fault) []mark {
	daemonMarks := func(i int, kinds ...markKind) []mark { return marks(f.daemons[i].name, kinds...) }
	serverMarks := func(i int, kinds ...markKind) []mark { return marks(f.servers[i].ID(), kinds...) }
	switch fault := fault.(type) {
	case CompactStore, RestoreStore, SickStore:
		return []mark{{kind: storeDisturbed}}
	case CutDaemon:
		return daemonMarks(fault.Daemon, daemonDisturbed, daemonCut)
	case CutStore:
		return daemonMarks(fault.Daemon, daemonDisturbed, daemonCut)
	case DrainServer:
		return serverMarks(fault.Server, serverDisturbed)
	case LapseServer:
		return serverMarks(fault.Server, serverDisturbed)
	case Pause:
		return daemonMarks(fault.Daemon, daemonDisturbed, daemonReset)
	case ResetLinks:
		return append(daemonMarks(fault.Daemon, daemonDisturbed, daemonCut), serverMarks(fault.Server, serverDisturbed, serverCut)...)
	case SickServer:
		return serverMarks(fault.Server, serverDisturbed)
	case SickService:
		var all []mark
		for i := range f.servers {
			all = append(all, serverMarks(i, serverDisturbed)...)
		}
		return all
	case SlowServer:
		return serverMarks(fault.Server, serverDisturbed, serverCut)
	}
	return nil
}
