package soak

import (
	"context"
	"syscall"
	"time"

	"dandeliondoor/stand"
)

// apply makes a fault happen; what lasts ends with heal.
func (f *fleet) apply(ctx context.Context, fault Fault) error {
	switch fault := fault.(type) {
	case CompactStore:
		f.store.Compact(serverTopic)
		f.store.Compact(configTopic)
	case CutDaemon:
		f.daemons[fault.Daemon].peers.Faults.Set(fault.Faults)
	case CutStore:
		f.daemons[fault.Daemon].store.Faults.Set(fault.Faults)
	case DrainServer:
		return f.drain(f.servers[fault.Server])
	case Pause:
		return f.daemons[fault.Daemon].pause(ctx, fault.Period)
	case Publish:
		return f.publish()
	case ResetLinks:
		f.daemons[fault.Daemon].peers.Reset()
		f.daemons[fault.Daemon].store.Reset()
		f.servers[fault.Server].link.Reset()
	case Restart:
		return f.restart(f.daemons[fault.Daemon], fault.Signal)
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

// heal ends all faults that last.
func (f *fleet) heal() error {
	f.store.Faults.Set(stand.StoreFaults{})
	for _, d := range f.daemons {
		mend(d.store)
		mend(d.peers)
	}
	for _, s := range f.servers {
		s.Faults.Set(stand.ServerFaults{})
		mend(s.link)
		if s.drained.IsZero() {
			continue
		}
		s.drained = time.Time{}
		if err := s.Register(f.store, false); err != nil {
			return err
		}
	}
	return nil
}

// mend ends the faults of a link; connections that lost bytes stay silent, so all
// are reset.
func mend(link *stand.Link) {
	if link.Faults.Get() == (stand.LinkFaults{}) {
		return
	}
	link.Faults.Set(stand.LinkFaults{})
	link.Reset()
}

// drain lets a server report that it leaves.
func (f *fleet) drain(s *server) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !s.drained.IsZero() {
		return nil
	}
	s.drained = time.Now()
	return s.Register(f.store, true)
}

// pause stops a daemon's process for a while.
func (d *daemon) pause(ctx context.Context, period time.Duration) error {
	d.ending.Lock()
	defer d.ending.Unlock()
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
