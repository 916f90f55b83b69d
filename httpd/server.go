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
}

// NewServer returns a server for a listener; it takes the listener over.
func NewServer(listener net.Listener, handler http.Handler) *Server {
	server := &http.Server{
		Handler:           handler,
		ConnContext:       withFraming,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	return &Server{server: server, listener: framingListener{Listener: listener}}
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
