package httpd

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// The bounds of a connection of a caller.
const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Server serves one handler on one listener.
type Server struct {
	server   *http.Server
	listener net.Listener
	waiting  *waiting
}

// Option changes a server at its construction.
type Option func(*Server)

// WithReadAhead cancels the context of a request as soon as its caller closes
// the connection, even when further requests wait behind it.
func WithReadAhead() Option {
	return func(s *Server) {
		s.listener = framingListener{Listener: s.listener, eager: true}
		s.server.ConnContext = withGone
	}
}

// WithMaxHeaderBytes replaces the bound of a request's head, for a handler that has
// a bound of its own below it.
func WithMaxHeaderBytes(limit int) Option {
	return func(s *Server) { s.server.MaxHeaderBytes = limit }
}

// NewServer returns a server for a listener; it takes the listener over.
func NewServer(listener net.Listener, handler http.Handler, options ...Option) *Server {
	server := &http.Server{
		Handler:           handler,
		ConnContext:       withFraming,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	s := &Server{server: server, listener: listener, waiting: newWaiting()}
	server.ConnState = s.waiting.note
	for _, option := range options {
		option(s)
	}
	if _, wrapped := s.listener.(framingListener); !wrapped {
		s.listener = framingListener{Listener: listener}
	}
	return s
}

// Serve accepts connections until Shutdown, or until the context ends, which
// cuts what is in flight.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err := s.server.Serve(s.listener)
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve HTTP")
}

// Shutdown stops accepting and waits for requests in flight until the context
// ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "shut HTTP server down")
	}
	return nil
}

// CloseIdle answers each further request with the close of its connection.
func (s *Server) CloseIdle() {
	s.server.SetKeepAlivesEnabled(false)
}
