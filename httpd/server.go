package httpd

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// maxHeaderBytes is the default size limit of a request's headers.
const maxHeaderBytes = 64 << 10

// Server serves HTTP requests on a listener with a handler.
type Server struct {
	server   *http.Server
	listener net.Listener
	conns    *connSet
}

// Option configures a server.
type Option func(*Server)

// WithReadAhead cancels the context of a request as soon as the caller closes the
// connection, even if pipelined requests follow it. The time limits of connections are
// then only those of CloseExpired, which has to be called periodically.
func WithReadAhead() Option {
	return func(s *Server) {
		s.listener = callerListener{Listener: s.listener, readAhead: true}
		s.server.IdleTimeout, s.server.ReadHeaderTimeout = 0, 0
	}
}

// WithMaxHeaderBytes sets the size limit of a request's headers. It is for handlers
// that enforce a lower limit themselves.
func WithMaxHeaderBytes(limit int) Option {
	return func(s *Server) { s.server.MaxHeaderBytes = limit }
}

// WithUnhandled calls a function when a connection ends on which requests were read
// that the handler never got.
func WithUnhandled(onUnhandled func(count int, cause error)) Option {
	return func(s *Server) { s.conns.onUnhandled = onUnhandled }
}

// NewServer returns a server that takes ownership of the listener.
func NewServer(listener net.Listener, handler http.Handler, options ...Option) *Server {
	s := &Server{listener: listener, conns: newConnSet()}
	s.server = &http.Server{
		Handler:           s.track(handler),
		ConnContext:       withConn,
		ConnState:         s.conns.update,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: defaultHeaderTimeout,
	}
	for _, option := range options {
		option(s)
	}
	if _, wrapped := s.listener.(callerListener); !wrapped {
		s.listener = callerListener{Listener: listener}
	}
	return s
}

// track records which requests the handler gets.
func (s *Server) track(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn := connOf(r.Context()); conn != nil {
			conn.beginRequest()
		}
		handler.ServeHTTP(w, r)
	})
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
func (s *Server) DisableKeepAlives() { s.server.SetKeepAlivesEnabled(false) }

// CloseExpired closes the connections that have waited for a request longer than the
// limits allow.
func (s *Server) CloseExpired(now time.Time, limits Limits) {
	s.conns.closeExpired(now, limits.withDefaults())
}
