package kernel

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Service is one part of a process. Start begins work that ends with the
// context; the returned channel yields the part's end once and is then closed.
type Service interface {
	Name() string
	Start(ctx context.Context, k *Kernel) (<-chan error, error)
}

// Drainer is a service that finishes what is in flight before it stops.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Dumper is a service that shows its state; the value is printed as YAML.
type Dumper interface {
	Dump(now time.Time) any
}

// Kernel runs services in the order of their registration and stops them in
// reverse.
type Kernel struct {
	services []Service
	running  []runningService
}

type runningService struct {
	service Service
	cancel  context.CancelFunc
	end     <-chan error
}

// New returns a kernel with the given services.
func New(services ...Service) *Kernel {
	return &Kernel{services: services}
}

// Find returns the service of the given name as type T.
func Find[T any](k *Kernel, name string) (T, error) {
	var none T
	for _, service := range k.services {
		if service.Name() != name {
			continue
		}
		found, matches := service.(T)
		if !matches {
			return none, errors.Errorf("service %s is a %T", name, service)
		}
		return found, nil
	}
	return none, errors.Errorf("service %s is not registered", name)
}

// Start starts all services; when one fails, those that run are stopped.
func (k *Kernel) Start(ctx context.Context) error {
	for _, service := range k.services {
		child, cancel := context.WithCancel(ctx)
		end, err := service.Start(child, k)
		if err != nil {
			cancel()
			stopErr := k.Stop()
			return errors.Join(errors.Wrapf(err, "start %s", service.Name()), stopErr)
		}
		k.running = append(k.running, runningService{service: service, cancel: cancel, end: end})
	}
	return nil
}

// Drain asks each drainer, in the order of registration, to finish what is in
// flight.
func (k *Kernel) Drain(ctx context.Context) error {
	var failures []error
	for _, running := range k.running {
		drainer, drains := running.service.(Drainer)
		if !drains {
			continue
		}
		if err := drainer.Drain(ctx); err != nil {
			failures = append(failures, errors.Wrapf(err, "drain %s", running.service.Name()))
		}
	}
	return errors.Join(failures...)
}

// Stop ends all running services in reverse order and waits for their ends.
func (k *Kernel) Stop() error {
	var failures []error
	for i := len(k.running) - 1; i >= 0; i-- {
		running := k.running[i]
		running.cancel()
		if err := <-running.end; err != nil && !errors.Is(err, context.Canceled) {
			failures = append(failures, errors.Wrapf(err, "stop %s", running.service.Name()))
		}
	}
	k.running = nil
	return errors.Join(failures...)
}

// PartState is the dump of one service.
type PartState struct {
	Part  string `yaml:"part"`
	State any    `yaml:"state"`
}

// Dump returns the state of each service that shows one.
func (k *Kernel) Dump(now time.Time) []PartState {
	var states []PartState
	for _, service := range k.services {
		if dumper, dumps := service.(Dumper); dumps {
			states = append(states, PartState{Part: service.Name(), State: dumper.Dump(now)})
		}
	}
	return states
}

// Run calls work in a goroutine and returns the channel of its end.
func Run(ctx context.Context, work func(ctx context.Context) error) <-chan error {
	end := make(chan error, 1)
	go func() {
		defer close(end)
		end <- work(ctx)
	}()
	return end
}
