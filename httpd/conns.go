package httpd

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Unhandled describes requests that were read from a connection and never passed to the
// handler. IDs are those of the last of them. Cause is why the connection ended.
type Unhandled struct {
	Count int
	IDs   []string
	Cause error
}

// connSet is the set of a server's open connections.
type connSet struct {
	mutex       sync.Mutex
	open        map[*callerConn]struct{}
	idleLimit   time.Duration
	onUnhandled func(Unhandled)
}

func newConnSet() *connSet {
	return &connSet{open: make(map[*callerConn]struct{}), onUnhandled: func(Unhandled) {}}
}

// update implements the ConnState callback of http.Server.
func (s *connSet) update(conn net.Conn, state http.ConnState) {
	caller, isCaller := conn.(*callerConn)
	if !isCaller {
		return
	}
	switch state {
	case http.StateNew:
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.open[caller] = struct{}{}
	case http.StateIdle:
		caller.finishResponse(time.Now(), s.currentIdleLimit())
	case http.StateClosed, http.StateHijacked:
		if unhandled := caller.unhandled(); unhandled.Count > 0 {
			s.onUnhandled(unhandled)
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.open, caller)
	case http.StateActive:
	}
}

func (s *connSet) currentIdleLimit() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.idleLimit
}

// list returns the open connections. Whoever closes one of them must ask that connection
// whether it may be closed, as its state may have changed.
func (s *connSet) list() []*callerConn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	conns := make([]*callerConn, 0, len(s.open))
	for conn := range s.open {
		conns = append(conns, conn)
	}
	return conns
}

func (s *connSet) closeExpired(now time.Time, limits Limits) {
	s.mutex.Lock()
	s.idleLimit = limits.IdleTimeout
	s.mutex.Unlock()
	for _, conn := range s.list() {
		conn.closeExpired(now, limits)
	}
}

// closeWaiting closes the connections that wait for a request and returns the number of
// those that were open before.
func (s *connSet) closeWaiting(now time.Time, newConnGrace time.Duration) int {
	conns := s.list()
	for _, conn := range conns {
		conn.closeWaiting(now, newConnGrace)
	}
	return len(conns)
}

// endAll ends all connections without waiting for what they are doing.
func (s *connSet) endAll() {
	for _, conn := range s.list() {
		conn.endNow()
	}
}

// allSent reports whether no connection has a response left to send.
func (s *connSet) allSent() bool {
	for _, conn := range s.list() {
		if !conn.hasSentAll() {
			return false
		}
	}
	return true
}
