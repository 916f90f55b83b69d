package httpd

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/quota"
)

const (
	// maxHeaderBytes is the default size limit of a request's headers.
	maxHeaderBytes = 64 << 10
	// defaultAhead is the default quota for reading ahead, in bytes.
	defaultAhead = 32 << 20
)

// Times of Shutdown.
const (
	shutdownInterval = 20 * time.Millisecond
	// newConnGrace is how long a new connection may take to bring its first request
	// while the server shuts down.
	newConnGrace = time.Second
)

// Server serves HTTP requests on a listener with a handler.
type Server struct {
	server   *http.Server
	listener *callerListener
	conns    *connSet
	closing  atomic.Bool
	stopping atomic.Bool
	accepted chan struct{}
	drained  chan struct{}
}

// Option configures a server.
type Option func(*Server)

// WithReadAhead cancels the context of a request as soon as the caller closes the
// connection, even if pipelined requests follow it. The time limits of connections are
// then only those of CloseExpired, which has to be called periodically.
func WithReadAhead() Option {
	return func(s *Server) {
		s.listener.readAhead = true
		s.server.IdleTimeout, s.server.ReadHeaderTimeout = 0, 0
	}
}

// WithAheadQuota bounds what all connections together read ahead, beyond a few kilobytes
// for each.
func WithAheadQuota(ahead *quota.Quota) Option {
	return func(s *Server) { s.listener.ahead = ahead }
}

// WithMaxHeaderBytes sets the size limit of a request's headers. It is for handlers
// that enforce a lower limit themselves.
func WithMaxHeaderBytes(limit int) Option {
	return func(s *Server) { s.server.MaxHeaderBytes = limit }
}

// WithUnhandled calls a function when a connection ends on which requests were read
// that the handler never got and that were not rejected, either. The header with the
// given name has the ID of a request.
func WithUnhandled(idHeader string, onUnhandled func(Unhandled)) Option {
	return func(s *Server) {
		s.listener.idHeader = idHeader
		s.conns.onUnhandled = onUnhandled
	}
}

// NewServer returns a server that takes ownership of the listener.
func NewServer(listener net.Listener, handler http.Handler, options ...Option) *Server {
	s := &Server{
		listener: &callerListener{Listener: listener, ahead: quota.New(defaultAhead)}, conns: newConnSet(),
		accepted: make(chan struct{}), drained: make(chan struct{}),
	}
	s.server = &http.Server{
		Handler:                      s.track(handler),
		DisableGeneralOptionsHandler: true,
		ConnContext:                  withConn,
		ConnState:                    s.conns.update,
		IdleTimeout:                  defaultIdleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		ReadHeaderTimeout:            defaultHeaderTimeout,
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// track records which requests the handler gets, and closes connections after their
// responses if keep-alives are disabled.
func (s *Server) track(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := connOf(r.Context())
		if conn != nil {
			conn.beginRequest()
		}
		tracked := &responseWriter{ResponseWriter: w, request: r, conn: conn, closing: &s.closing}
		completed := false
		defer func() {
			if conn != nil && !completed {
				conn.stopBody()
			}
		}()
		handler.ServeHTTP(tracked, r)
		completed = true
		if !tracked.wroteHeader {
			tracked.setConnection()
		}
		if conn != nil {
			conn.endRequest(tracked.closesConnection(r))
		}
	})
}

// Serve accepts connections until Shutdown is called or the context ends. After the
// call of Shutdown it returns when no connection is left. The end of the context aborts
// requests in flight.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.abort)
	defer stop()
	err := s.server.Serve(s.listener)
	close(s.accepted)
	if s.stopping.Load() {
		select {
		case <-s.drained:
		case <-ctx.Done():
			s.abort() // The AfterFunc may not have closed all connections yet.
		}
		return nil
	}
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve HTTP")
}

// abort closes all connections. It ends them first, so that they don't linger one after
// the other.
func (s *Server) abort() {
	s.conns.endAll()
	_ = s.server.Close()
}

// Shutdown accepts the connections that are pending and no further ones, closes each
// connection that waits for a request, and the others after their responses. It returns
// when none is left. When the context ends, it returns an error if a response has not been
// sent. It may be called once.
//
// http.Server.Shutdown isn't used, since it drops requests that have been read but not
// yet passed to the handler.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	s.DisableKeepAlives()
	if err := s.listener.stop(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "stop listener")
	}
	ticker := time.NewTicker(shutdownInterval)
	defer ticker.Stop()
	for !s.closeWaiting(time.Now()) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			_ = s.listener.Close()
			if s.conns.allSent() {
				return nil
			}
			return errors.Wrap(ctx.Err(), "shut down HTTP server")
		}
	}
	close(s.drained)
	return nil
}

// closeWaiting closes the connections that wait for a request. It reports whether none was
// left and no further one will be accepted.
func (s *Server) closeWaiting(now time.Time) bool {
	accepting := true
	select {
	case <-s.accepted:
		accepting = false
	default:
	}
	return s.conns.closeWaiting(now, newConnGrace) == 0 && !accepting
}

// DisableKeepAlives makes the server close each connection after the response to the last
// request that has been read from it. Those that wait for a request stay open.
func (s *Server) DisableKeepAlives() { s.closing.Store(true) }

// CloseExpired closes the connections that have waited for a request longer than the
// limits allow.
func (s *Server) CloseExpired(now time.Time, limits Limits) {
	s.conns.closeExpired(now, limits.withDefaults())
}
