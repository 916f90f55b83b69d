package httpd

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits bound how long a caller may take. Zero means that there is no bound.
//
// HeaderTimeout runs from the opening of a connection until the head of its first
// request is whole, IdleTimeout from an answer until the next request.
type Limits struct {
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// waiting are the connections of a server that wait for a request.
type waiting struct {
	mutex sync.Mutex
	conns map[net.Conn]wait
}

// wait is what a connection waits for, and since when.
type wait struct {
	state http.ConnState
	since time.Time
}

func newWaiting() *waiting { return &waiting{conns: make(map[net.Conn]wait)} }

// note takes a new state of a connection.
func (w *waiting) note(conn net.Conn, state http.ConnState) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		w.conns[conn] = wait{state: state, since: time.Now()}
	case http.StateActive, http.StateClosed, http.StateHijacked:
		delete(w.conns, conn)
	}
}

// expired returns the connections that have waited longer than the limits allow.
func (w *waiting) expired(now time.Time, limits Limits) []net.Conn {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var conns []net.Conn
	for conn, waits := range w.conns {
		limit := limits.IdleTimeout
		if waits.state == http.StateNew {
			limit = limits.HeaderTimeout
		}
		if limit > 0 && now.Sub(waits.since) > limit {
			conns = append(conns, conn)
		}
	}
	return conns
}

// CloseExpired closes the connections that have waited longer than the limits allow.
func (s *Server) CloseExpired(now time.Time, limits Limits) {
	for _, conn := range s.waiting.expired(now, limits) {
		_ = conn.Close()
	}
}
