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

// Limits of connections to upstreams.
const (
	connectTimeout    = 500 * time.Millisecond
	idleConnTimeout   = 90 * time.Second
	continueTimeout   = time.Second
	maxResponseHeader = 256 << 10
)

// countingConn counts the bytes written to an upstream.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn. Bytes are counted before they are written, because a
// write that fails or is still in progress may have sent some of them.
func (c *countingConn) Write(data []byte) (int, error) {
	c.written.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// transportPool holds an HTTP transport per upstream that limits the connections
// to it.
type transportPool struct {
	mutex     sync.Mutex
	byAddress map[string]*limitedTransport
}

type limitedTransport struct {
	transport *http.Transport
	maxConns  int
}

func newTransportPool() *transportPool {
	return &transportPool{byAddress: make(map[string]*limitedTransport)}
}

// get returns the transport of an upstream. The upstream's connection limit is
// divided evenly among the daemons.
func (t *transportPool) get(upstream model.Upstream, daemons int) *http.Transport {
	maxConns := max(upstream.Connections/max(daemons, 1), 1)
	address := upstream.Address.String()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	existing, found := t.byAddress[address]
	if found && existing.maxConns == maxConns {
		return existing.transport
	}
	if found {
		existing.transport.CloseIdleConnections()
	}
	created := newTransport(maxConns)
	t.byAddress[address] = &limitedTransport{transport: created, maxConns: maxConns}
	return created
}

func (t *transportPool) closeIdle() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, existing := range t.byAddress {
		existing.transport.CloseIdleConnections()
	}
}

func newTransport(maxConns int) *http.Transport {
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
		MaxConnsPerHost:        maxConns,
		MaxIdleConnsPerHost:    maxConns,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
}

// writeTracker determines whether any byte of a request may have been written.
type writeTracker struct {
	mutex         sync.Mutex
	conn          *countingConn
	writtenBefore int64
}

// trace returns a context that makes the HTTP transport report the request's
// connection to the tracker.
func (w *writeTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, isCounting := info.Conn.(*countingConn)
			if !isCounting {
				return
			}
			w.mutex.Lock()
			defer w.mutex.Unlock()
			w.conn = conn
			w.writtenBefore = conn.written.Load()
		},
	})
}

// gotConn reports whether the request was assigned a connection.
func (w *writeTracker) gotConn() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.conn != nil
}

// wroteAny reports whether any byte of the request may have been written.
func (w *writeTracker) wroteAny() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.conn != nil && w.conn.written.Load() > w.writtenBefore
}
