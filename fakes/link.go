package fakes

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/kernel"
)

// LinkFaults selects the faults of a network path. The soak prints the field names.
// Forward is the direction from the dialer to the target. Refuse closes new connections
// at once.
type LinkFaults struct {
	Refuse       bool
	DropForward  bool
	DropBackward bool
	Delay        time.Duration
}

// Link simulates the network path to one address. It is a TCP proxy that can drop or
// delay the bytes of one direction or both.
type Link struct {
	Faults FaultSet[LinkFaults]

	target netip.AddrPort

	mutex sync.Mutex
	conns map[net.Conn]struct{}
}

// NewLink returns a link to the target.
func NewLink(target netip.AddrPort) *Link {
	return &Link{target: target, conns: make(map[net.Conn]struct{})}
}

// Reset resets all open connections.
func (l *Link) Reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for conn := range l.conns {
		reset(conn)
	}
}

// reset closes a connection in such a way that its other end sees an error.
func reset(conn net.Conn) {
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (l *Link) track(conns ...net.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, conn := range conns {
		l.conns[conn] = struct{}{}
	}
}

func (l *Link) untrack(conns ...net.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, conn := range conns {
		delete(l.conns, conn)
	}
}

// Serve proxies the connections that the listener accepts until the context ends.
func (l *Link) Serve(ctx context.Context, listener net.Listener) error {
	return kernel.Accept(ctx, listener, l.proxy)
}

func (l *Link) proxy(ctx context.Context, inbound net.Conn) {
	defer inbound.Close()
	if l.Faults.Get().Refuse {
		return
	}
	outbound, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.target.String())
	if err != nil {
		return
	}
	defer outbound.Close()
	l.track(inbound, outbound)
	defer l.untrack(inbound, outbound)
	stop := context.AfterFunc(ctx, func() {
		_ = inbound.Close()
		_ = outbound.Close()
	})
	defer stop()
	var directions sync.WaitGroup
	directions.Go(func() { l.copy(ctx, outbound, inbound, func(f LinkFaults) bool { return f.DropForward }) })
	directions.Go(func() { l.copy(ctx, inbound, outbound, func(f LinkFaults) bool { return f.DropBackward }) })
	directions.Wait()
}

// copy forwards one direction of a connection. Dropped bytes are never delivered
// later, so a direction forwards nothing more after its first dropped bytes.
func (l *Link) copy(ctx context.Context, to, from net.Conn, drops func(LinkFaults) bool) {
	defer to.Close()
	dropping := false
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		faults := l.Faults.Get()
		sleep(ctx, faults.Delay)
		dropping = dropping || drops(faults)
		if !dropping && n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			// The end of the stream is dropped as well.
			if errors.Is(err, io.EOF) && dropping {
				<-ctx.Done()
			}
			if !errors.Is(err, io.EOF) {
				reset(to)
			}
			return
		}
	}
}
