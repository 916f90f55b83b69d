package slots

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/choose"
	"dandeliondoor/crash"
	"dandeliondoor/kernel"
	"dandeliondoor/wire"
)

// Name identifies the service in the kernel and in log lines.
const Name = "slots"

// Service serves the broker to other daemons.
type Service struct {
	broker   *Broker
	local    []*Broker
	draining atomic.Bool
}

var (
	_ kernel.Service = &Service{}
	_ kernel.Drainer = &Service{}
	_ kernel.Dumper  = &Service{}
)

// NewService returns a service for a broker. The queues of the local brokers are run, too,
// although other daemons don't ask these.
func NewService(broker *Broker, local ...*Broker) *Service {
	return &Service{broker: broker, local: local}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start stores what the fleet has to know of requests that crash servers, and runs the
// queues, until the context ends. All other work is done in the goroutines of incoming RPCs.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) (<-chan error, error) {
	return kernel.Run(ctx, s.run), nil
}

func (s *Service) run(ctx context.Context) error {
	var ends []<-chan error
	for _, broker := range append([]*Broker{s.broker}, s.local...) {
		if broker.Queues() {
			ends = append(ends, kernel.Run(ctx, broker.Run))
		}
	}
	err := s.broker.crashes.Run(ctx)
	for _, end := range ends {
		err = errors.Join(err, <-end)
	}
	return err
}

// State is the service's part of a state dump.
type State struct {
	Refused []RefusedRequest `yaml:"refused"`
	Waiting int              `yaml:"waiting,omitempty"`
}

// Dump returns the current state.
func (s *Service) Dump(now time.Time) any {
	return State{Refused: s.broker.crashes.Dump(now), Waiting: s.broker.Waiting()}
}

// Drain makes the replies to waiting and further asks Unable, so that other daemons ask
// the next broker.
func (s *Service) Drain(context.Context) error {
	s.draining.Store(true)
	s.broker.ReleaseRemote()
	return nil
}

// receiver serves the RPCs of other daemons.
type receiver struct {
	service *Service
	session *wire.Session
	tickets *Tickets
}

// Receivers returns the methods that other daemons may call.
func (s *Service) Receivers(session *wire.Session) []wire.Receiver {
	r := &receiver{service: s, session: session, tickets: NewTickets(s.broker, session)}
	session.OnEnd(func() { r.tickets.End(time.Now()) })
	return []wire.Receiver{{Name: receiverName, Methods: r}}
}

// Ask selects a server for an attempt of another daemon.
func (r *receiver) Ask(request AskRequest, reply *AskReply) error {
	if r.service.draining.Load() || !r.service.broker.HasServers(request.Pool.Service) {
		reply.Unable = true
		return nil
	}
	now := time.Now()
	r.service.broker.Hear(now, request.Ask.Daemon, request.FirstTicket, r.session)
	request.Wait = request.Wait && r.service.broker.Queues()
	decision := r.tickets.Ask(now, request)
	if _, isQueued := decision.(choose.Queued); isQueued && r.service.draining.Load() {
		// Drain may have ended the waits just before this one began.
		r.tickets.Cancel(time.Now(), ticketOf(request))
		decision = nil
	}
	*reply = toReply(decision)
	reply.Unable = decision == nil
	return nil
}

// Await returns the decision on a queued ask as soon as there is one.
func (r *receiver) Await(request TicketRequest, reply *AskReply) error {
	decision := r.tickets.Await(request)
	*reply = toReply(decision)
	reply.Unable = decision == nil
	return nil
}

// Cancel ends a queued ask of another daemon, or its attempt.
func (r *receiver) Cancel(request TicketRequest, _ *Empty) error {
	r.tickets.Cancel(time.Now(), request)
	return nil
}

// Release ends an attempt of another daemon.
func (r *receiver) Release(request ReleaseRequest, _ *Empty) error {
	now := time.Now()
	r.service.broker.Hear(now, request.Release.Daemon, request.FirstTicket, r.session)
	r.service.broker.Release(now, request)
	return nil
}

// Present records that another daemon lives whose attempts run.
func (r *receiver) Present(request PresenceRequest, _ *Empty) error {
	r.service.broker.Hear(time.Now(), request.Daemon, request.FirstTicket, r.session)
	return nil
}

// ReturnCredit gives back the token of a request of another daemon that has not run.
func (r *receiver) ReturnCredit(request CreditReturn, _ *Empty) error {
	r.service.broker.ReturnCredit(time.Now(), request)
	return nil
}

// Crash receives what another daemon learned of a request that may crash servers.
func (r *receiver) Crash(report crash.Report, _ *Empty) error {
	r.service.broker.crashes.Receive(time.Now(), report)
	return nil
}
