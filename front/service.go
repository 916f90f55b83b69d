package front

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
	"dandeliondoor/proto"
	"dandeliondoor/upconn"
)

// Name is the name of the service in the kernel.
const Name = "front"

// maxHeaderBytes is the highest limit that a configuration can set for the size
// of a request header.
const maxHeaderBytes = 1 << 20

// sweepInterval is how often open connections are checked for expiry.
const sweepInterval = 500 * time.Millisecond

// Service serves callers on one listener and drains without aborting requests.
type Service struct {
	handler  *Handler
	server   *httpd.Server
	log      *logrus.Entry
	inFlight atomic.Int64
}

var (
	_ kernel.Service = &Service{}
	_ kernel.Drainer = &Service{}
	_ kernel.Dumper  = &Service{}
)

// NewService returns a service on a listener, whose server has further options.
func NewService(listener net.Listener, handler *Handler, log *logrus.Entry, options ...httpd.Option) *Service {
	s := &Service{handler: handler, log: log}
	options = append([]httpd.Option{
		httpd.WithReadAhead(), httpd.WithMaxHeaderBytes(maxHeaderBytes), httpd.WithUnhandled(proto.HeaderRequestID, s.recordUnhandled),
	}, options...)
	s.server = httpd.NewServer(listener, http.HandlerFunc(s.serve), options...)
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start serves until the context is done.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) (<-chan error, error) {
	swept := kernel.Run(ctx, s.sweep)
	return kernel.Run(ctx, func(ctx context.Context) error {
		err := s.server.Serve(ctx)
		if sweepErr := <-swept; err == nil {
			err = sweepErr
		}
		return err
	}), nil
}

// sweep periodically closes callers' connections that exceed a timeout, and pooled
// connections that have expired or whose server restarted, drains or is gone. It also
// drops the holds that have ended.
func (s *Service) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			view := s.handler.views.View()
			var limits httpd.Limits
			if view.Table != nil {
				configured := view.Table.Config.Limits
				limits = httpd.Limits{HeaderTimeout: configured.HeaderTimeout, IdleTimeout: configured.IdleTimeout}
			}
			s.server.CloseExpired(now, limits)
			s.handler.held.observe(now, view.Servers)
			s.handler.conns.CloseStale(now, func(target upconn.Target) bool {
				server, known := view.Servers[target.ID]
				return known && server.Born == target.StartTime && !server.Draining
			})
		}
	}
}

// recordUnhandled records requests that were read and got no response, because their
// connection ended before they could be handled.
func (s *Service) recordUnhandled(unhandled httpd.Unhandled) {
	cause := unhandled.Cause.Error()
	s.handler.metrics.unhandled.WithLabelValues(cause).Add(float64(unhandled.Count))
	s.log.WithField("requests", unhandled.Count).WithField("request_ids", unhandled.IDs).WithField("end", cause).
		Info("connection ended with unhandled requests")
}

// Draining reports whether the balancer should stop sending requests.
func (s *Service) Draining() bool { return s.handler.currentStop().Began() }

// BeginStop begins a planned stop: the balancer should stop sending requests, and each
// response ends its connection. Drain waits for its end.
func (s *Service) BeginStop(stop Stop) {
	s.handler.stop.Store(&stop)
	s.server.DisableKeepAlives()
	s.log.WithField("in_flight", s.inFlight.Load()).Info("draining; no longer ready")
}

// Drain waits until new requests are refused, and then for those in flight, which it
// ends when the stop ends.
func (s *Service) Drain(ctx context.Context) error {
	stop := s.handler.currentStop()
	sleep(ctx, time.Until(stop.RefusesAt()))
	s.log.WithField("in_flight", s.inFlight.Load()).Info("rejecting new requests")
	endCtx, cancel := context.WithCancel(ctx)
	ended := kernel.Run(endCtx, func(ctx context.Context) error {
		sleep(ctx, time.Until(stop.EndsAt()))
		if ctx.Err() == nil {
			s.handler.interrupts.callAll()
		}
		return nil
	})
	err := s.server.Shutdown(ctx)
	cancel()
	if endErr := <-ended; err == nil {
		err = endErr
	}
	inFlight := s.inFlight.Load()
	s.log.WithField("in_flight", inFlight).WithField("answered_at_end", s.handler.answeredAtEnd.Load()).
		WithField("aborted", s.handler.abortedAtEnd.Load()+inFlight).Info("drained")
	if errors.Is(err, context.DeadlineExceeded) && inFlight == 0 {
		// Connections without a request may be closed.
		return nil
	}
	return err
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.handler.ServeHTTP(w, r)
}

// State is the service's part of a state dump.
type State struct {
	Draining bool  `yaml:"draining"`
	InFlight int64 `yaml:"in_flight"`
}

// Dump returns the current state.
func (s *Service) Dump(time.Time) any {
	return State{Draining: s.Draining(), InFlight: s.inFlight.Load()}
}
