package fakes

import (
	"context"
	"sync"
	"time"
)

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
