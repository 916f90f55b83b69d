package wire

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"

	"dandeliondoor/kernel"
)

// Receiver is a named set of methods in the form that net/rpc asks for.
type Receiver struct {
	Name    string
	Methods any
}

// Session is one connection of another daemon; its ID is unique in this process
// and never 0.
type Session struct {
	ID uint64

	mutex sync.Mutex
	ends  []func()
	ended chan struct{}
	over  bool
}

var lastSession atomic.Uint64

func newSession() *Session {
	return &Session{ID: lastSession.Add(1), ended: make(chan struct{})}
}

// Ended returns a channel that is closed once the other daemon is gone.
func (s *Session) Ended() <-chan struct{} { return s.ended }

// OnEnd registers a call for the end of the connection.
func (s *Session) OnEnd(end func()) {
	s.mutex.Lock()
	if !s.over {
		s.ends = append(s.ends, end)
		s.mutex.Unlock()
		return
	}
	s.mutex.Unlock()
	end()
}

func (s *Session) end() {
	s.mutex.Lock()
	if s.over {
		s.mutex.Unlock()
		return
	}
	s.over = true
	close(s.ended)
	ends := s.ends
	s.mutex.Unlock()
	for _, end := range ends {
		end()
	}
}

// sessionConn ends its session with the first failed read, for net/rpc itself
// returns only once each call that runs has returned.
type sessionConn struct {
	net.Conn
	session *Session
}

// Read reads from the connection.
func (c sessionConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	if err != nil {
		c.session.end()
	}
	return count, err
}

// Factory returns the receivers of a new session.
type Factory func(session *Session) []Receiver

// Server serves the calls of other daemons.
type Server struct {
	factories []Factory
	meter     *Meter
}

// NewServer returns a server that counts its traffic on the meter.
func NewServer(meter *Meter) *Server {
	return &Server{meter: meter}
}

// Add registers a factory; it has to come before Serve.
func (s *Server) Add(factory Factory) {
	s.factories = append(s.factories, factory)
}

// Serve accepts connections until the context ends, and returns once each
// connection is closed.
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
	server.ServeConn(sessionConn{Conn: meteredConn{Conn: conn, meter: s.meter}, session: session})
}

// The heartbeat call.
const (
	pingReceiver = "Ping"
	pingMethod   = "Ping.Echo"
)

// Heartbeat is the empty argument and answer of a heartbeat.
type Heartbeat struct{ Seq uint64 }

type pinger struct{}

// Echo answers a heartbeat.
func (*pinger) Echo(request Heartbeat, reply *Heartbeat) error {
	*reply = request
	return nil
}
