package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"dandeliondoor/grant"
	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
)

// Name is the name under which other services find the entry.
const Name = "entry"

// Service serves callers on one listener and drains without cutting a request.
type Service struct {
	handler  *Handler
	client   *grant.Client
	server   *httpd.Server
	lag      time.Duration
	log      *logrus.Entry
	inFlight atomic.Int64
	draining atomic.Bool
}

var (
	_ kernel.Service = &Service{}
	_ kernel.Drainer = &Service{}
	_ kernel.Dumper  = &Service{}
)

// NewService returns a service on a listener; lag is how long the platform's
// balancer sends new connections after the daemon is no longer ready.
func NewService(
	listener net.Listener, handler *Handler, client *grant.Client, lag time.Duration, log *logrus.Entry,
) *Service {
	s := &Service{handler: handler, client: client, lag: lag, log: log}
	s.server = httpd.NewServer(listener, http.HandlerFunc(s.serve))
	return s
}

// Name returns Name.
func (s *Service) Name() string { return Name }

// Start serves until the context ends.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) (<-chan error, error) {
	return kernel.Run(ctx, s.server.Serve), nil
}

// Draining reports whether the balancer should send nothing more.
func (s *Service) Draining() bool { return s.draining.Load() }

// Drain tells the balancer, serves on for its lag while kept connections are
// closed one answer at a time, and then waits for what is in flight.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.log.Info("draining; no longer ready")
	timer := time.NewTimer(s.lag)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	err := s.server.Shutdown(ctx)
	s.handler.transports.closeIdle()
	return err
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}

// State is the dump of the entry.
type State struct {
	Draining bool              `yaml:"draining"`
	InFlight int64             `yaml:"in_flight"`
	Budgets  []BudgetState     `yaml:"retry_budgets"`
	Client   grant.ClientState `yaml:"client"`
}

// BudgetState is the dump of the retry budget of one service.
type BudgetState struct {
	Service string  `yaml:"service"`
	Retries float64 `yaml:"retries"`
}

// Dump returns what is in flight and the budgets.
func (s *Service) Dump(time.Time) any {
	return State{
		Draining: s.draining.Load(),
		InFlight: s.inFlight.Load(),
		Budgets:  s.handler.budgetStates(),
		Client:   s.client.Dump(),
	}
}
