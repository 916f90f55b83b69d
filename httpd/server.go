package httpd

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Default limits of a caller's connection.
const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Server serves HTTP requests on a listener with a handler.
type Server struct {
	server   *http.Server
	listener net.Listener
	conns    *connTracker
}

// Option configures a server.
type Option func(*Server)

// WithReadAhead cancels the context of a request as soon as the caller closes the
// connection, even if pipelined requests follow it.
func WithReadAhead() Option {
	return func(s *Server) {
		s.listener = framingListener{Listener: s.listener, readAhead: true}
		s.server.ConnContext = withDisconnect
	}
}

// WithMaxHeaderBytes sets the size limit of a request's headers. It is for handlers
// that enforce a lower limit themselves.
func WithMaxHeaderBytes(limit int) Option {
	return func(s *Server) { s.server.MaxHeaderBytes = limit }
}

// NewServer returns a server that takes ownership of the listener.
func NewServer(listener net.Listener, handler http.Handler, options ...Option) *Server {
	server := &http.Server{
		Handler:           handler,
		ConnContext:       withFraming,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	s := &Server{server: server, listener: listener, conns: newConnTracker()}
	server.ConnState = s.conns.update
	for _, option := range options {
		option(s)
	}
	if _, wrapped := s.listener.(framingListener); !wrapped {
		s.listener = framingListener{Listener: listener}
	}
	return s
}

// Serve accepts connections until Shutdown is called or the context ends. The end
// of the context aborts requests in flight.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err := s.server.Serve(s.listener)
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve HTTP")
}

// Shutdown stops accepting connections and waits for requests in flight until the
// context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "shut down HTTP server")
	}
	return nil
}

// DisableKeepAlives makes the server close idle connections, and each other
// connection after its next response.
func (s *Server) DisableKeepAlives() {
	s.server.SetKeepAlivesEnabled(false)
}
