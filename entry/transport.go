package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"dandeliondoor/model"
)

// The times of connections to upstreams.
const (
	connectTimeout  = 500 * time.Millisecond
	idleConnTimeout = 90 * time.Second
	continueTimeout = time.Second
	maxAnswerHeader = 256 << 10
)

// countingConn counts the bytes written to an upstream.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write writes and counts.
func (c *countingConn) Write(data []byte) (int, error) {
	c.written.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// transports keeps connections to each upstream within its bound.
type transports struct {
	mutex      sync.Mutex
	byUpstream map[string]*boundTransport
}

type boundTransport struct {
	transport *http.Transport
	bound     int
}

func newTransports() *transports {
	return &transports{byUpstream: make(map[string]*boundTransport)}
}

// of returns the transport of an upstream, with this daemon's part of the
// upstream's connections.
func (t *transports) of(upstream model.Upstream, daemons int) *http.Transport {
	bound := max(upstream.Connections/max(daemons, 1), 1)
	key := upstream.Address.String()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.byUpstream[key]
	if found && known.bound == bound {
		return known.transport
	}
	if found {
		known.transport.CloseIdleConnections()
	}
	created := newTransport(bound)
	t.byUpstream[key] = &boundTransport{transport: created, bound: bound}
	return created
}

func (t *transports) closeIdle() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, known := range t.byUpstream {
		known.transport.CloseIdleConnections()
	}
}

func newTransport(bound int) *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		ExpectContinueTimeout:  continueTimeout,
		IdleConnTimeout:        idleConnTimeout,
		MaxConnsPerHost:        bound,
		MaxIdleConnsPerHost:    bound,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}
}

// writeWatch knows whether any byte of one request was written.
type writeWatch struct {
	mutex  sync.Mutex
	conn   *countingConn
	before int64
}

// trace returns a context in which the watch learns its connection.
func (w *writeWatch) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, counted := info.Conn.(*countingConn)
			if !counted {
				return
			}
			w.mutex.Lock()
			defer w.mutex.Unlock()
			w.conn = conn
			w.before = conn.written.Load()
		},
	})
}

// connected reports whether the request had a connection at all.
func (w *writeWatch) connected() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.conn != nil
}

// wrote reports whether any byte of the request was written.
func (w *writeWatch) wrote() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.conn != nil && w.conn.written.Load() > w.before
}
