package front

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
	"dandeliondoor/upconn"
)

// Name is the name under which other services find the callers' port.
const Name = "front"

// maxHeaderBytes is the highest bound that a configuration can set for a head.
const maxHeaderBytes = 1 << 20

// sweepInterval is how often open connections are looked through.
const sweepInterval = 500 * time.Millisecond

// Service serves callers on one listener and drains without cutting a request.
type Service struct {
	handler  *Handler
	server   *httpd.Server
	lag      time.Duration
	log      *logrus.Entry
	inFlight atomic.Int64
	draining atomic.Bool
	refusing atomic.Bool
}

var (
	_ kernel.Service = &Service{}
	_ kernel.Drainer = &Service{}
	_ kernel.Dumper  = &Service{}
)

// NewService returns a service on a listener; lag is how long the balancer sends
// new connections after the daemon is no longer ready.
func NewService(listener net.Listener, handler *Handler, lag time.Duration, log *logrus.Entry) *Service {
	s := &Service{handler: handler, lag: lag, log: log}
	s.server = httpd.NewServer(listener, http.HandlerFunc(s.serve), httpd.WithEagerReads(), httpd.WithHeaderBytes(maxHeaderBytes))
	return s
}

// Name returns Name.
func (s *Service) Name() string { return Name }

// Start serves until the context ends.
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

// sweep closes connections of callers and kept ones to servers whose time is over.
func (s *Service) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			view := s.handler.views.View()
			if view.Table != nil {
				limits := view.Table.Config.Limits
				s.server.Sweep(now, httpd.Limits{HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout})
			}
			s.handler.conns.Sweep(now, func(target upconn.Target) bool {
				server, known := view.Servers[target.ID]
				return known && server.Born == target.Born && !server.Draining
			})
		}
	}
}

// Draining reports whether the balancer should send nothing more.
func (s *Service) Draining() bool { return s.draining.Load() }

// Drain serves on for the balancer's lag, refuses what comes later, and waits
// for what is in flight.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.log.WithField("in_flight", s.inFlight.Load()).Info("draining; no longer ready")
	wait(ctx, s.lag)
	s.refusing.Store(true)
	s.log.WithField("in_flight", s.inFlight.Load()).Info("taking no more requests")
	err := s.server.Shutdown(ctx)
	s.log.WithField("in_flight", s.inFlight.Load()).Info("drained")
	return err
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.refusing.Load() {
		s.handler.answerSelf(w, s.handler.newExchange(r), ownAnswer{status: http.StatusServiceUnavailable, reason: reasonLeaving})
		return
	}
	s.handler.ServeHTTP(w, r)
}

// State is the dump of the callers' port.
type State struct {
	Draining bool  `yaml:"draining"`
	InFlight int64 `yaml:"in_flight"`
}

// Dump returns what is in flight.
func (s *Service) Dump(time.Time) any {
	return State{Draining: s.draining.Load(), InFlight: s.inFlight.Load()}
}
