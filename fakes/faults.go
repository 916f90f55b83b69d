package fakes

import (
	"context"
	"net/http"
	"sync"
	"time"

	"dandeliondoor/httpd"
)

// faultsPath is the path at which a stand-in's faults are read and replaced.
const faultsPath = "/v1/faults"

// FaultSet holds the faults that a stand-in injects. It is safe for concurrent use.
type FaultSet[Faults any] struct {
	mutex  sync.Mutex
	faults Faults
}

// Get returns the current faults.
func (s *FaultSet[Faults]) Get() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// Set replaces the current faults.
func (s *FaultSet[Faults]) Set(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// registerRoutes adds the handlers that return and replace the faults.
func (s *FaultSet[Faults]) registerRoutes(router *httpd.Router) {
	router.Handle(http.MethodGet, faultsPath, httpd.JSON(func(context.Context, struct{}) (Faults, error) {
		return s.Get(), nil
	}))
	router.Handle(http.MethodPut, faultsPath, httpd.JSON(func(_ context.Context, faults Faults) (Faults, error) {
		s.Set(faults)
		return faults, nil
	}))
}

// sleep waits for the delay or until the context ends.
func sleep(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
