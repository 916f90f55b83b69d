package stand

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
)

// LinkFaults are the faults of a network path. Forward is the direction from
// the dialer to the target.
type LinkFaults struct {
	DropForward  bool          `json:"drop_forward,optional"`
	DropBackward bool          `json:"drop_backward,optional"`
	Delay        time.Duration `json:"delay,optional"`
}

// Link stands in for the network path to one address: it passes bytes on, and
// drops or delays them in one direction or both.
type Link struct {
	Faults Switch[LinkFaults]

	target netip.AddrPort

	mutex sync.Mutex
	open  map[net.Conn]struct{}
}

// NewLink returns a path to the target.
func NewLink(target netip.AddrPort) *Link {
	return &Link{target: target, open: make(map[net.Conn]struct{})}
}

// Reset resets all open connections.
func (l *Link) Reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for conn := range l.open {
		if tcp, isTCP := conn.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (l *Link) track(conns ...net.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, conn := range conns {
		l.open[conn] = struct{}{}
	}
}

func (l *Link) forget(conns ...net.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, conn := range conns {
		delete(l.open, conn)
	}
}

// Control returns the port over which faults are switched.
func (l *Link) Control() (http.Handler, error) {
	router := httpd.NewRouter()
	l.Faults.route(router)
	return router.Handler()
}

// Serve passes connections on until the context ends.
func (l *Link) Serve(ctx context.Context, listener net.Listener) error {
	return kernel.Accept(ctx, listener, l.pass)
}

func (l *Link) pass(ctx context.Context, near net.Conn) {
	defer near.Close()
	far, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.target.String())
	if err != nil {
		return
	}
	defer far.Close()
	l.track(near, far)
	defer l.forget(near, far)
	stop := context.AfterFunc(ctx, func() {
		_ = near.Close()
		_ = far.Close()
	})
	defer stop()
	var directions sync.WaitGroup
	directions.Go(func() { l.copy(ctx, far, near, func(f LinkFaults) bool { return f.DropForward }) })
	directions.Go(func() { l.copy(ctx, near, far, func(f LinkFaults) bool { return f.DropBackward }) })
	directions.Wait()
}

// copy passes one direction on; what is dropped never arrives later, so the
// connection stays silent from the first loss on.
func (l *Link) copy(ctx context.Context, to, from net.Conn, dropped func(LinkFaults) bool) {
	defer to.Close()
	lost := false
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		faults := l.Faults.Get()
		sleep(ctx, faults.Delay)
		lost = lost || dropped(faults)
		if !lost && count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) && lost {
				<-ctx.Done()
			}
			return
		}
	}
}
