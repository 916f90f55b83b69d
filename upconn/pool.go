package upconn

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"dandeliondoor/dialer"
)

// Limits of dialing and of idle connections.
const (
	// dialTimeout is short because no part of the request has been sent yet:
	// trying another upstream is better than waiting for the retransmission of a
	// lost packet.
	dialTimeout = 300 * time.Millisecond
	// maxIdleConns limits the idle connections per upstream.
	maxIdleConns = 4
	// defaultKeepAlive is how long an idle connection is kept if the upstream
	// doesn't send a Keep-Alive timeout.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is how long before the upstream's own timeout an idle
	// connection is no longer used, because the upstream may already be closing it.
	keepAliveMargin = 700 * time.Millisecond
)

// Target identifies one incarnation of an upstream: StartTime differs after a
// restart under the same ID.
type Target struct {
	Address   netip.AddrPort
	ID        string
	StartTime int64
}

// Dial opens a connection to an upstream.
type Dial func(ctx context.Context, target Target) (net.Conn, error)

// Pool holds idle connections to upstreams.
type Pool struct {
	mutex  sync.Mutex
	idle   map[Target][]*Conn
	open   Dial
	onDial func()
}

// Option configures a pool.
type Option func(*Pool)

// WithDial replaces the function that opens connections.
func WithDial(dial Dial) Option { return func(p *Pool) { p.open = dial } }

// NewPool returns an empty pool that calls onDial for each new connection.
func NewPool(onDial func(), options ...Option) *Pool {
	p := &Pool{idle: make(map[Target][]*Conn), onDial: onDial, open: dialTCP}
	for _, option := range options {
		option(p)
	}
	return p
}

func dialTCP(ctx context.Context, target Target) (net.Conn, error) {
	return dialer.New(dialTimeout).DialContext(ctx, "tcp", target.Address.String())
}

// Get returns an idle connection that was last used at most maxIdleTime ago, or
// opens a new one.
func (p *Pool) Get(ctx context.Context, target Target, maxIdleTime time.Duration) (*Conn, error) {
	for {
		conn := p.popIdle(target)
		if conn == nil {
			return p.dial(ctx, target)
		}
		if time.Since(conn.lastUsed) <= maxIdleTime && conn.usable(time.Now()) {
			return conn, nil
		}
		conn.Close()
	}
}

func (p *Pool) dial(ctx context.Context, target Target) (*Conn, error) {
	conn, err := p.open(ctx, target)
	if err != nil {
		return nil, &DialError{Address: target.Address, Err: err}
	}
	p.onDial()
	return newConn(conn, target), nil
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) popIdle(target Target) *Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	conns := p.idle[target]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	p.idle[target] = conns[:len(conns)-1]
	return conn
}

// Put returns a connection to the pool. It closes the connection if it can't be
// reused or if the upstream has maxIdleConns idle connections already.
func (p *Pool) Put(conn *Conn) {
	now := time.Now()
	conn.lastUsed = now
	if !conn.reusable {
		conn.Close()
		return
	}
	p.mutex.Lock()
	conns := p.idle[conn.target]
	if len(conns) < maxIdleConns {
		p.idle[conn.target] = append(conns, conn)
		conn = nil
	}
	p.mutex.Unlock()
	if conn != nil {
		conn.Close()
	}
}

// CloseStale closes the idle connections that have expired and those to upstreams
// for which inUse returns false.
func (p *Pool) CloseStale(now time.Time, inUse func(target Target) bool) {
	var stale []*Conn
	p.mutex.Lock()
	for target, conns := range p.idle {
		var kept []*Conn
		for _, conn := range conns {
			if now.Before(conn.expiresAt()) && inUse(target) {
				kept = append(kept, conn)
				continue
			}
			stale = append(stale, conn)
		}
		if len(kept) == 0 {
			delete(p.idle, target)
			continue
		}
		p.idle[target] = kept
	}
	p.mutex.Unlock()
	for _, conn := range stale {
		conn.Close()
	}
}
