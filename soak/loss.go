package soak

import (
	"net/http"
	"slices"
	"time"

	"dandeliondoor/fakes"
)

// The platform's bounds for requests that end without a response.
const (
	// lossSlack is the time after the last byte of a request within which the connection
	// may end if the request was not passed on to a server.
	lossSlack = 200 * time.Millisecond
	// configApply is the time within which a configuration or new settings take effect.
	configApply = 2 * time.Second
	// maintenanceSlack extends the time around a stop and a configuration.
	maintenanceSlack = time.Second
	// A request that was sent within lateSending of the stop's begin may be cut off while
	// its server works in the last part of the stop limit, which begins at lastPart.
	lateSending = 3 * time.Second
	lastPart    = stopLimit - stopLimit/6
)

// pass is what one server saw of a request. Execution is zero if the request did not run.
type pass struct {
	server    string
	arrivedAt time.Time
	execution fakes.Execution
}

// worksAt reports whether the server ran the request at a time.
func (p pass) worksAt(at time.Time) bool {
	run := p.execution
	return !run.Begin.IsZero() && !run.Begin.After(at) && (run.End.IsZero() || run.End.After(at))
}

// passesByID returns what the servers saw of each request.
func passesByID(servers []*server) map[string][]pass {
	passes := make(map[string][]pass)
	for _, s := range servers {
		executions := make(map[string]fakes.Execution)
		for _, execution := range s.Executions() {
			executions[execution.ID] = execution
		}
		for _, arrival := range s.Arrivals() {
			passes[arrival.ID] = append(passes[arrival.ID], pass{
				server: s.ID(), arrivedAt: arrival.At, execution: executions[arrival.ID],
			})
		}
	}
	return passes
}

// verifyLosses checks that no request that a daemon has read ends without a response.
func (r *recorder) verifyLosses(h *history, passes map[string][]pass) {
	for _, c := range r.calls {
		passed := passes[c.id]
		if c.abandoned || c.lastByteAt.IsZero() {
			continue
		}
		if c.cut && c.kept && ranAtSoundServer(h, c, passed) && inTouch(h, c) {
			r.addFinding("%s ran at a sound server, and its kept connection was closed without a response", c)
		}
		if work := maintenanceAround(h, c); work != "" && isLost(c, passed) && !isExcused(h, c, passed) {
			r.addFinding("%s was lost around %s", c, work)
		}
	}
}

// ranAtSoundServer reports whether a server without disturbances ran the request. A
// response that had begun may be that of a disturbed server if one got the request, too.
func ranAtSoundServer(h *history, c call, passed []pass) bool {
	ran := false
	for _, p := range passed {
		disturbances := h.overlapping(mark{kind: serverDisturbed, name: p.server}, p.arrivedAt.Add(-2*contactTime), c.endedAt)
		switch {
		case len(disturbances) == 0:
			ran = ran || !p.execution.Begin.IsZero()
		case !c.begunAt.IsZero():
			return false
		}
	}
	return ran
}

// inTouch reports whether neither the store nor the call's daemon were disturbed or
// restarted from contactTime before the call until its end.
func inTouch(h *history, c call) bool {
	from := c.lastByteAt.Add(-contactTime)
	return !h.overlapsAny(from, c.endedAt, append(marks(c.daemon, daemonDisturbed, daemonStopped), mark{kind: storeDisturbed})...)
}

// maintenanceAround returns the planned maintenance around the end of a call, or "" if
// there was none.
func maintenanceAround(h *history, c call) string {
	if len(stopsAround(h, c)) > 0 {
		return "a stop"
	}
	for _, reload := range h.overlapping(mark{kind: daemonReloaded, name: c.daemon}, c.lastByteAt.Add(-configApply), c.endedAt) {
		if !c.lastByteAt.After(reload.begin.Add(configApply)) {
			return "a reload"
		}
	}
	if h.overlapsAny(c.endedAt.Add(-configApply-maintenanceSlack), c.endedAt, mark{kind: configPublished}) {
		return "a new configuration"
	}
	return ""
}

// stopsAround returns the planned stops of the call's daemon around the end of the call.
func stopsAround(h *history, c call) []span {
	const around = stopLimit + maintenanceSlack
	stops := h.overlapping(mark{kind: daemonStopped, name: c.daemon}, c.endedAt.Add(-around), c.endedAt)
	return slices.DeleteFunc(stops, func(stop span) bool { return c.endedAt.After(stop.begin.Add(around)) })
}

// isLost reports whether the connection of a call ended without a response although the
// daemon had read the request, or the daemon responded in the place of a server that was
// still at work.
func isLost(c call, passed []pass) bool {
	switch {
	case c.cut && len(passed) > 0:
		return true
	case c.cut:
		return !c.behind && c.endedAt.Sub(c.lastByteAt) > lossSlack
	case c.status < http.StatusInternalServerError || c.signed:
		return false
	}
	return slices.ContainsFunc(passed, func(p pass) bool { return p.worksAt(c.endedAt) })
}

// isExcused reports whether the platform does not count the loss of a call: the daemon or
// a server was disturbed, the time for the request was over, or its server was at work
// when the stop limit was almost reached.
func isExcused(h *history, c call, passed []pass) bool {
	from := c.lastByteAt.Add(-contactTime)
	if !c.endedAt.Before(c.sentAt.Add(c.limit)) || h.overlapsAny(from, c.endedAt, mark{kind: daemonDisturbed, name: c.daemon}) {
		return true
	}
	stops := stopsAround(h, c)
	for _, p := range passed {
		if h.overlapsAny(from, c.endedAt, mark{kind: serverDisturbed, name: p.server}) {
			return true
		}
		for _, stop := range stops {
			late := !c.endedAt.Before(stop.begin.Add(lastPart)) && p.worksAt(stop.begin.Add(lastPart))
			if late && !c.lastByteAt.After(stop.begin.Add(lateSending)) {
				return true
			}
		}
	}
	return false
}
