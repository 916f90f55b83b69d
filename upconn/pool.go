package upconn

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"dandeliondoor/dials"
)

// The bounds of kept connections.
const (
	// dialTimeout is short, for nothing was sent yet and another upstream can be
	// tried instead of waiting for a lost packet to be sent again.
	dialTimeout = 300 * time.Millisecond
	// maxIdle bounds the kept connections to one upstream.
	maxIdle = 4
	// defaultKeep is how long a connection is kept whose upstream gave no time.
	defaultKeep = 4 * time.Second
	// keepMargin is how long before an upstream's own limit a connection is no
	// longer used, for its close may be under way.
	keepMargin = 700 * time.Millisecond
)

// Target is one incarnation of an upstream.
type Target struct {
	Address netip.AddrPort
	ID      string
	StartTime    int64
}

// Pool keeps connections to upstreams.
type Pool struct {
	mutex  sync.Mutex
	idle   map[Target][]*Conn
	opened func()
}

// NewPool returns an empty pool; opened is called for each new connection.
func NewPool(opened func()) *Pool {
	return &Pool{idle: make(map[Target][]*Conn), opened: opened}
}

// Get returns a kept connection that was used within youngest, or opens one.
func (p *Pool) Get(ctx context.Context, target Target, youngest time.Duration) (*Conn, error) {
	for {
		conn := p.take(target)
		if conn == nil {
			return p.dial(ctx, target)
		}
		if time.Since(conn.usedAt) <= youngest && conn.usable(time.Now()) {
			return conn, nil
		}
		conn.Close()
	}
}

func (p *Pool) dial(ctx context.Context, target Target) (*Conn, error) {
	conn, err := dials.New(dialTimeout).DialContext(ctx, "tcp", target.Address.String())
	if err != nil {
		return nil, &DialError{Address: target.Address, Err: err}
	}
	p.opened()
	return newConn(conn, target), nil
}

func (p *Pool) take(target Target) *Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := p.idle[target]
	if len(kept) == 0 {
		return nil
	}
	conn := kept[len(kept)-1]
	p.idle[target] = kept[:len(kept)-1]
	return conn
}

// Put keeps a connection whose last answer was read whole, or closes it.
func (p *Pool) Put(conn *Conn) {
	now := time.Now()
	conn.usedAt = now
	if !conn.clean {
		conn.Close()
		return
	}
	p.mutex.Lock()
	kept := p.idle[conn.target]
	if len(kept) < maxIdle {
		p.idle[conn.target] = append(kept, conn)
		conn = nil
	}
	p.mutex.Unlock()
	if conn != nil {
		conn.Close()
	}
}

// CloseStale closes the connections whose time is over and those to upstreams that
// wanted no longer names.
func (p *Pool) CloseStale(now time.Time, wanted func(target Target) bool) {
	var ended []*Conn
	p.mutex.Lock()
	for target, conns := range p.idle {
		var kept []*Conn
		for _, conn := range conns {
			if now.Before(conn.keepUntil()) && wanted(target) {
				kept = append(kept, conn)
				continue
			}
			ended = append(ended, conn)
		}
		if len(kept) == 0 {
			delete(p.idle, target)
			continue
		}
		p.idle[target] = kept
	}
	p.mutex.Unlock()
	for _, conn := range ended {
		conn.Close()
	}
}
