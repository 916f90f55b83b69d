package fakes

import (
	"net"
	"sync"
)

// TrackedListener is a listener that can close all connections that it accepted, as
// happens when their process crashes.
type TrackedListener struct {
	net.Listener

	mutex sync.Mutex
	conns map[net.Conn]struct{}
}

// NewTrackedListener returns a TrackedListener that wraps the given listener.
func NewTrackedListener(listener net.Listener) *TrackedListener {
	return &TrackedListener{Listener: listener, conns: make(map[net.Conn]struct{})}
}

// Accept waits for the next connection and tracks it.
func (t *TrackedListener) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, listener: t}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.conns[tracked] = struct{}{}
	return tracked, nil
}

// CloseConns closes all open connections.
func (t *TrackedListener) CloseConns() {
	t.mutex.Lock()
	conns := make([]net.Conn, 0, len(t.conns))
	for conn := range t.conns {
		conns = append(conns, conn)
	}
	t.mutex.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// trackedConn removes itself from its listener's set when it is closed.
type trackedConn struct {
	net.Conn
	listener *TrackedListener
}

// Close closes the connection and stops tracking it.
func (c *trackedConn) Close() error {
	c.listener.mutex.Lock()
	delete(c.listener.conns, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}
