package wire

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"dandeliondoor/kernel"
)

// Receiver is a named net/rpc receiver. Methods is the value whose exported methods
// are served.
type Receiver struct {
	Name    string
	Methods any
}

// Session is a connection opened by another daemon. Its ID is unique within this
// process and never 0.
type Session struct {
	ID uint64

	mutex   sync.Mutex
	onEnd   []func()
	ended   chan struct{}
	isEnded bool

	// readAt is the time since processStart, in ns, when something was last received.
	readAt atomic.Int64
}

var lastSession atomic.Uint64

// processStart is the time from which readAt counts. It has a monotonic reading, so that a step
// of the clock makes no session silent.
var processStart = time.Now()

func newSession() *Session {
	s := &Session{ID: lastSession.Add(1), ended: make(chan struct{})}
	s.readAt.Store(int64(time.Since(processStart)))
	return s
}

// Silence returns the time since anything was received from the other daemon.
func (s *Session) Silence(now time.Time) time.Duration {
	return now.Sub(processStart.Add(time.Duration(s.readAt.Load())))
}

// Ended returns a channel that is closed when the connection has ended.
func (s *Session) Ended() <-chan struct{} { return s.ended }

// OnEnd registers a function that runs when the connection ends. If it has already
// ended, the function runs at once.
func (s *Session) OnEnd(callback func()) {
	s.mutex.Lock()
	if !s.isEnded {
		s.onEnd = append(s.onEnd, callback)
		s.mutex.Unlock()
		return
	}
	s.mutex.Unlock()
	callback()
}

func (s *Session) end() {
	s.mutex.Lock()
	if s.isEnded {
		s.mutex.Unlock()
		return
	}
	s.isEnded = true
	close(s.ended)
	callbacks := s.onEnd
	s.mutex.Unlock()
	for _, callback := range callbacks {
		callback()
	}
}

// sessionConn ends its session when a read first fails. The return of
// rpc.Server.ServeConn would be too late, since it waits for all running calls.
type sessionConn struct {
	net.Conn
	session *Session
}

// Read ends the session when the read fails.
func (c sessionConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.session.readAt.Store(int64(time.Since(processStart)))
	if err != nil {
		c.session.end()
	}
	return count, err
}

// ReceiverFactory returns the receivers for a new session.
type ReceiverFactory func(session *Session) []Receiver

// Server serves calls from other daemons.
type Server struct {
	factories []ReceiverFactory
	meter     *Meter
}

// NewServer returns a server whose traffic is counted by the meter.
func NewServer(meter *Meter) *Server {
	return &Server{meter: meter}
}

// Add registers a factory of receivers. It must be called before Serve.
func (s *Server) Add(factory ReceiverFactory) {
	s.factories = append(s.factories, factory)
}

// Serve accepts connections until the context ends, and returns when all of them
// are closed.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	return kernel.Accept(ctx, listener, s.serveConn)
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	session := newSession()
	defer session.end()
	server := rpc.NewServer()
	if err := server.RegisterName(pingReceiver, &pinger{}); err != nil {
		return
	}
	for _, factory := range s.factories {
		for _, receiver := range factory(session) {
			if err := server.RegisterName(receiver.Name, receiver.Methods); err != nil {
				return
			}
		}
	}
	server.ServeConn(sessionConn{Conn: &boundedConn{Conn: meteredConn{Conn: conn, meter: s.meter}}, session: session})
}

// Names of the heartbeat receiver and its method in net/rpc.
const (
	pingReceiver = "Ping"
	pingMethod   = "Ping.Echo"
)

// Heartbeat is the request and the reply of a heartbeat. Seq is sent as 0.
type Heartbeat struct{ Seq uint64 }

type pinger struct{}

// Echo replies to a heartbeat with the request.
func (*pinger) Echo(request Heartbeat, reply *Heartbeat) error {
	*reply = request
	return nil
}
