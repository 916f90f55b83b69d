package stand

import (
	"context"
	"net/http"
	"sync"
	"time"

	"dandeliondoor/httpd"
)

// faultsPath is where each stand-in shows and takes its faults.
const faultsPath = "/v1/faults"

// Switch holds the faults of a stand-in.
type Switch[Faults any] struct {
	mutex  sync.Mutex
	faults Faults
}

// Get returns the current faults.
func (s *Switch[Faults]) Get() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// Set replaces the current faults.
func (s *Switch[Faults]) Set(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// route adds the handlers that show and replace the faults.
func (s *Switch[Faults]) route(router *httpd.Router) {
	router.Handle(http.MethodGet, faultsPath, httpd.JSON(func(context.Context, struct{}) (Faults, error) {
		return s.Get(), nil
	}))
	router.Handle(http.MethodPut, faultsPath, httpd.JSON(func(_ context.Context, faults Faults) (Faults, error) {
		s.Set(faults)
		return faults, nil
	}))
}

// sleep waits for a fault's delay or the end of the request.
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
