package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"dandeliondoor/grant"
	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
)

// Name is the name of the service in the kernel.
const Name = "entry"

// answerMargin is how long before the end of a planned stop the requests in flight are
// cancelled, so that their callers still get a response.
const answerMargin = 300 * time.Millisecond

// errStopping is the cause of the cancellation of a request that a planned stop can't
// wait for.
var errStopping = errors.New("daemon is stopping")

// Service accepts callers' requests on a listener. It can be drained without
// aborting requests in flight.
type Service struct {
	handler      *Handler
	client       *grant.Client
	server       *httpd.Server
	balancerLag  time.Duration
	log          *logrus.Entry
	inFlight     atomic.Int64
	draining     atomic.Bool
	stopping     atomic.Bool
	stop         context.CancelFunc
	whenStopping func(call func()) (detach func() bool)
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
	stopping, stop := context.WithCancel(ctx)
	s.stop = stop
	s.whenStopping = func(call func()) func() bool { return context.AfterFunc(stopping, call) }
	return kernel.Run(ctx, s.server.Serve), nil
}

// Draining reports whether the load balancer should stop sending connections.
func (s *Service) Draining() bool { return s.draining.Load() }

// Drain marks the daemon as unready and keeps serving for the balancer lag, closing
// each keep-alive connection after its next response. Then it stops accepting
// connections and waits for requests in flight. Those that don't end in time are
// cancelled shortly before, which the daemon responds to itself.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.server.DisableKeepAlives()
	s.log.Info("draining; no longer ready")
	if end, limited := ctx.Deadline(); limited {
		timer := time.AfterFunc(time.Until(end)-answerMargin, s.cancelRequests)
		defer timer.Stop()
	}
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

// cancelRequests cancels the requests in flight and refuses further ones.
func (s *Service) cancelRequests() {
	s.stopping.Store(true)
	s.stop()
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	body := &trackedBody{ReadCloser: r.Body}
	body.ended.Store(r.ContentLength == 0)
	r.Body = body
	detach := s.whenStopping(func() {
		cancel(errStopping)
		if !body.ended.Load() {
			// An attempt ends only when the body does. Behind a body, a deadline would end
			// the contexts of further requests that have been read.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		}
	})
	defer detach()
	if s.stopping.Load() {
		s.handler.respond(w, &exchange{id: uuid.NewString(), request: r}, reject(http.StatusServiceUnavailable, ReasonStopping))
		return
	}
	s.handler.serve(ctx, w, r)
}

// trackedBody is the body of a request. Ended is set once it has been read to its end.
type trackedBody struct {
	io.ReadCloser

	ended atomic.Bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(data []byte) (int, error) {
	count, err := b.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return count, err
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
