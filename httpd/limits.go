package httpd

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits are the time limits of callers' connections. Zero means no limit.
//
// HeaderTimeout runs from the acceptance of a connection until the head of its
// first request is complete, IdleTimeout from a response until the head of the next
// request is complete.
type Limits struct {
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// connTracker records which connections of a server wait for a request.
type connTracker struct {
	mutex   sync.Mutex
	waiting map[net.Conn]connState
}

// connState is the state of a connection and the time of its last change.
type connState struct {
	state http.ConnState
	since time.Time
}

func newConnTracker() *connTracker { return &connTracker{waiting: make(map[net.Conn]connState)} }

// update implements the ConnState callback of http.Server.
func (t *connTracker) update(conn net.Conn, state http.ConnState) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		t.waiting[conn] = connState{state: state, since: time.Now()}
	case http.StateActive, http.StateClosed, http.StateHijacked:
		delete(t.waiting, conn)
	}
}

// expired returns the connections that have waited longer than the limits allow.
func (t *connTracker) expired(now time.Time, limits Limits) []net.Conn {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var conns []net.Conn
	for conn, current := range t.waiting {
		limit := limits.IdleTimeout
		if current.state == http.StateNew {
			limit = limits.HeaderTimeout
		}
		if limit > 0 && now.Sub(current.since) > limit {
			conns = append(conns, conn)
		}
	}
	return conns
}

// CloseExpired closes the connections that have waited for a request longer than
// the limits allow.
func (s *Server) CloseExpired(now time.Time, limits Limits) {
	for _, conn := range s.conns.expired(now, limits) {
		closeExpired(conn)
	}
}

// closeExpired closes a connection with ErrIdle as the cause, if it keeps one.
func closeExpired(conn net.Conn) {
	if framed, isFramed := conn.(*framingConn); isFramed {
		if readAhead, isReadAhead := framed.Conn.(*readAheadConn); isReadAhead {
			readAhead.closeFor(ErrIdle)
			return
		}
	}
	_ = conn.Close()
}
