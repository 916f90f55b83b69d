package slots

import (
	"context"
	"sync/atomic"
	"time"

	"dandeliondoor/kernel"
	"dandeliondoor/wire"
)

// Name is the name under which other services find the brokers.
const Name = "slots"

// Service answers the asks of other daemons.
type Service struct {
	broker  *Broker
	leaving atomic.Bool
}

var (
	_ kernel.Service = &Service{}
	_ kernel.Drainer = &Service{}
)

// NewService returns a service for a broker.
func NewService(broker *Broker) *Service { return &Service{broker: broker} }

// Name returns Name.
func (s *Service) Name() string { return Name }

// Start does nothing, for all work is done in the calls of other daemons.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) (<-chan error, error) {
	return kernel.Run(ctx, func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	}), nil
}

// Drain sends further asks to the next broker.
func (s *Service) Drain(context.Context) error {
	s.leaving.Store(true)
	return nil
}

// receiver answers one daemon.
type receiver struct{ service *Service }

// Receivers returns the calls that other daemons may make.
func (s *Service) Receivers(*wire.Session) []wire.Receiver {
	return []wire.Receiver{{Name: receiverName, Methods: &receiver{service: s}}}
}

// Ask decides on an attempt of another daemon.
func (r *receiver) Ask(request AskRequest, reply *AskReply) error {
	if r.service.leaving.Load() || !r.service.broker.Knows(request.Pool.Service) {
		reply.Unable = true
		return nil
	}
	*reply = toReply(r.service.broker.Ask(time.Now(), request))
	return nil
}

// Release ends an attempt of another daemon.
func (r *receiver) Release(request ReleaseRequest, _ *Empty) error {
	r.service.broker.Release(time.Now(), request)
	return nil
}
