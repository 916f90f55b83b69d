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

// Name is the name of the service in the kernel.
const Name = "entry"

// Service accepts callers' requests on a listener. It can be drained without
// aborting requests in flight.
type Service struct {
	handler     *Handler
	client      *grant.Client
	server      *httpd.Server
	balancerLag time.Duration
	log         *logrus.Entry
	inFlight    atomic.Int64
	draining    atomic.Bool
}

var (
	_ kernel.Service = &Service{}
	_ kernel.Drainer = &Service{}
	_ kernel.Dumper  = &Service{}
)

// NewService returns a service on a listener. balancerLag is how long the platform's
// load balancer continues to send new connections after the daemon has become
// unready.
func NewService(
	listener net.Listener, handler *Handler, client *grant.Client, balancerLag time.Duration, log *logrus.Entry,
) *Service {
	s := &Service{handler: handler, client: client, balancerLag: balancerLag, log: log}
	s.server = httpd.NewServer(listener, http.HandlerFunc(s.serve))
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start serves requests until the context ends.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) (<-chan error, error) {
	return kernel.Run(ctx, s.server.Serve), nil
}

// Draining reports whether the load balancer should stop sending connections.
func (s *Service) Draining() bool { return s.draining.Load() }

// Drain marks the daemon as unready and keeps serving for the balancer lag, closing
// each keep-alive connection after its next response. Then it stops accepting
// connections and waits for requests in flight.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.server.DisableKeepAlives()
	s.log.Info("draining; no longer ready")
	timer := time.NewTimer(s.balancerLag)
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
	s.handler.ServeHTTP(w, r)
}

// State is the state dump of the service.
type State struct {
	Draining bool              `yaml:"draining"`
	InFlight int64             `yaml:"in_flight"`
	Budgets  []BudgetState     `yaml:"retry_budgets"`
	Client   grant.ClientState `yaml:"client"`
}

// BudgetState is the state dump of an upstream service's retry budget.
type BudgetState struct {
	Service string  `yaml:"service"`
	Retries float64 `yaml:"retries"`
}

// Dump implements kernel.Dumper.
func (s *Service) Dump(time.Time) any {
	return State{
		Draining: s.draining.Load(),
		InFlight: s.inFlight.Load(),
		Budgets:  s.handler.budgetStates(),
		Client:   s.client.Dump(),
	}
}
