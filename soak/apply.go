package soak

import (
	"context"
	"syscall"
	"time"

	"dandeliondoor/fakes"
)

// rewriteTime is the time within which all servers write their entries again after the store
// was restored. It is the platform's limit of two seconds, less a margin.
const rewriteTime = 1900 * time.Millisecond

// apply injects a fault and records what it disturbs. Faults that last are ended by
// clearFaults.
func (f *fleet) apply(ctx context.Context, fault Fault) error {
	ended := f.history.begin(time.Now(), f.marksOf(fault)...)
	if !lasts(fault) {
		defer func() { ended(time.Now()) }()
	}
	return f.inject(ctx, fault)
}

// lasts reports whether clearFaults ends a fault.
func lasts(fault Fault) bool {
	switch fault.(type) {
	case CompactStore, LapseServer, Pause, ResetLinks, RestoreStore:
		return false
	default:
		return true
	}
}

func (f *fleet) inject(ctx context.Context, fault Fault) error {
	switch fault := fault.(type) {
	case CompactStore:
		f.store.Compact(serverTopic)
		f.store.Compact(configTopic)
	case CrashRequests:
		return f.sendCrashing(ctx)
	case CutDaemon:
		f.daemons[fault.Daemon].peersLink.Faults.Set(fault.Faults)
	case CutStore:
		f.daemons[fault.Daemon].storeLink.Faults.Set(fault.Faults)
	case DrainServer:
		return f.startDrain(f.servers[fault.Server])
	case IdleLimits:
		return f.publishSeries(ctx, fault)
	case LapseServer:
		return f.lapse(ctx, f.servers[fault.Server], fault.Period)
	case LongRequests:
		return f.sendLong(ctx, fault)
	case Pause:
		return f.daemons[fault.Daemon].pause(ctx, fault.Period)
	case Publish:
		return f.publish(f.idleLimit())
	case Reload:
		return f.reload(ctx, f.daemons[fault.Daemon], fault.Signals)
	case ResetLinks:
		f.daemons[fault.Daemon].peersLink.Reset()
		f.daemons[fault.Daemon].storeLink.Reset()
		f.servers[fault.Server].link.Reset()
	case Restart:
		return f.restart(f.daemons[fault.Daemon], fault.Signal)
	case RestoreStore:
		return f.restoreStore(ctx, fault)
	case SickServer:
		f.servers[fault.Server].Faults.Set(fault.Faults)
	case SickService:
		for _, s := range f.servers {
			s.Faults.Set(fault.Faults)
		}
	case SickStore:
		f.store.Faults.Set(fault.Faults)
	case SlowServer:
		f.servers[fault.Server].link.Faults.Set(fault.Faults)
	}
	return nil
}

// clearFaults ends all faults that last.
func (f *fleet) clearFaults() error {
	f.store.Faults.Set(fakes.StoreFaults{})
	for _, d := range f.daemons {
		clearLinkFaults(d.storeLink)
		clearLinkFaults(d.peersLink)
	}
	for _, s := range f.servers {
		// A server that leaves does so until it is started anew.
		leaving := s.Announced()
		s.Faults.Set(fakes.ServerFaults{})
		clearLinkFaults(s.link)
		if leaving {
			s.Restart()
		}
		if s.drainStart.IsZero() && !leaving {
			continue
		}
		s.drainStart = time.Time{}
		if err := s.Register(f.store, false); err != nil {
			return err
		}
	}
	f.history.endAll(time.Now())
	return nil
}

// clearLinkFaults ends the faults of a link. Connections that lost bytes never forward
// data again, so it resets all connections of the link.
func clearLinkFaults(link *fakes.Link) {
	if link.Faults.Get() == (fakes.LinkFaults{}) {
		return
	}
	link.Faults.Set(fakes.LinkFaults{})
	link.Reset()
}

// startDrain registers a server as draining.
func (f *fleet) startDrain(s *server) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !s.drainStart.IsZero() {
		return nil
	}
	s.drainStart = time.Now()
	return s.Register(f.store, true)
}

// lapse removes a server's entry from the store for a period.
func (f *fleet) lapse(ctx context.Context, s *server, period time.Duration) error {
	s.Leave(f.store)
	sleep(ctx, period)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return s.Register(f.store, !s.drainStart.IsZero())
}

// restoreStore restores the store from a copy, and has the operator and the servers write
// their records again. The copy lacks a configuration that daemons have served since.
func (f *fleet) restoreStore(ctx context.Context, fault RestoreStore) error {
	copied := f.store.Snapshot()
	if err := f.publish(f.idleLimit()); err != nil {
		return err
	}
	sleep(ctx, fault.Age)
	before := f.store.Faults.Get()
	f.store.Faults.Set(fakes.StoreFaults{Refuse: true})
	sleep(ctx, fault.Outage)
	f.store.Restore(copied)
	f.store.Faults.Set(before)
	for _, s := range f.servers {
		sleep(ctx, rewriteTime/time.Duration(len(f.servers)))
		f.mutex.Lock()
		err := s.Register(f.store, !s.drainStart.IsZero())
		f.mutex.Unlock()
		if err != nil {
			return err
		}
	}
	return f.publishAgain()
}

// pause stops a daemon's process for the given period.
func (d *daemon) pause(ctx context.Context, period time.Duration) error {
	d.processMutex.Lock()
	defer d.processMutex.Unlock()
	if err := d.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	sleep(ctx, period)
	return d.signal(syscall.SIGCONT)
}

func sleep(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
