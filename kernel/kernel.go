package kernel

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Service is a component of a process. Start begins work that runs until the
// context ends. The returned channel receives the result of that work once and is
// then closed.
type Service interface {
	Name() string
	Start(ctx context.Context, k *Kernel) (<-chan error, error)
}

// Drainer is a service that can finish its work in flight before it stops.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Dumper is a service that returns its state, which is printed as YAML.
type Dumper interface {
	Dump(now time.Time) any
}

// Kernel starts services in the order of their registration and stops them in
// reverse order.
type Kernel struct {
	services []Service
	running  []runningService
}

type runningService struct {
	service Service
	cancel  context.CancelFunc
	done    <-chan error
}

// New returns a kernel with the given services.
func New(services ...Service) *Kernel {
	return &Kernel{services: services}
}

// Start starts all services. If one fails, it stops those that are running.
func (k *Kernel) Start(ctx context.Context) error {
	for _, service := range k.services {
		serviceCtx, cancel := context.WithCancel(ctx)
		done, err := service.Start(serviceCtx, k)
		if err != nil {
			cancel()
			stopErr := k.Stop()
			return errors.Join(errors.Wrapf(err, "start %s", service.Name()), stopErr)
		}
		k.running = append(k.running, runningService{service: service, cancel: cancel, done: done})
	}
	return nil
}

// Drain calls each Drainer in the order of registration and returns all of their
// errors.
func (k *Kernel) Drain(ctx context.Context) error {
	var errs []error
	for _, running := range k.running {
		drainer, isDrainer := running.service.(Drainer)
		if !isDrainer {
			continue
		}
		if err := drainer.Drain(ctx); err != nil {
			errs = append(errs, errors.Wrapf(err, "drain %s", running.service.Name()))
		}
	}
	return errors.Join(errs...)
}

// Stop stops all running services in reverse order, waiting for each to end, and
// returns their errors other than context.Canceled.
func (k *Kernel) Stop() error {
	var errs []error
	for i := len(k.running) - 1; i >= 0; i-- {
		running := k.running[i]
		running.cancel()
		if err := <-running.done; err != nil && !errors.Is(err, context.Canceled) {
			errs = append(errs, errors.Wrapf(err, "stop %s", running.service.Name()))
		}
	}
	k.running = nil
	return errors.Join(errs...)
}

// PartState is the state of one service in a dump.
type PartState struct {
	Part  string `yaml:"part"`
	State any    `yaml:"state"`
}

// Dump returns the state of each service that is a Dumper.
func (k *Kernel) Dump(now time.Time) []PartState {
	var states []PartState
	for _, service := range k.services {
		if dumper, isDumper := service.(Dumper); isDumper {
			states = append(states, PartState{Part: service.Name(), State: dumper.Dump(now)})
		}
	}
	return states
}

// Run calls work in a goroutine and returns a channel that receives its result and
// is then closed.
func Run(ctx context.Context, work func(ctx context.Context) error) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer close(done)
		done <- work(ctx)
	}()
	return done
}
