package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"dandeliondoor/stand"
)

// Fault is one trouble of a round.
type Fault interface{ isFault() }

// The kinds of faults. Each names its target by number; the times are how long
// it lasts.
type (
	// CutStore drops what goes between a daemon and the store, one way or both.
	CutStore struct {
		Daemon            int
		Forward, Backward bool
	}
	// DrainServer lets a server drain and come back at the end of the round.
	DrainServer struct{ Server int }
	// Pause stops a daemon's process and lets it go on.
	Pause struct {
		Daemon int
		For    time.Duration
	}
	// Publish stores a new configuration.
	Publish struct{}
	// Restart ends a daemon by a signal and starts it again.
	Restart struct {
		Daemon int
		Signal syscall.Signal
	}
	// SickServer gives a server a fault.
	SickServer struct {
		Server int
		Faults stand.ServerFaults
	}
	// SickStore gives the store a fault.
	SickStore struct{ Faults stand.StoreFaults }
	// SlowLink delays or cuts the path to a server.
	SlowLink struct {
		Server int
		Faults stand.LinkFaults
	}
)

func (CutStore) isFault()    {}
func (DrainServer) isFault() {}
func (Pause) isFault()       {}
func (Publish) isFault()     {}
func (Restart) isFault()     {}
func (SickServer) isFault()  {}
func (SickStore) isFault()   {}
func (SlowLink) isFault()    {}

// draw returns a random fault for a fleet of that size.
func draw(random *rand.Rand, daemons, servers int) Fault {
	d, s := random.IntN(daemons), random.IntN(servers)
	switch random.IntN(8) {
	case 0:
		forward := random.IntN(2) == 0
		return CutStore{Daemon: d, Forward: forward, Backward: !forward || random.IntN(2) == 0}
	case 1:
		return DrainServer{Server: s}
	case 2:
		return Pause{Daemon: d, For: time.Duration(200+random.IntN(1800)) * time.Millisecond}
	case 3:
		return Publish{}
	case 4:
		return Restart{Daemon: d, Signal: []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[random.IntN(2)]}
	case 5:
		return SickServer{Server: s, Faults: []stand.ServerFaults{
			{Cut: true}, {Fail: true}, {Foreign: true}, {Shed: true}, {Work: time.Second},
		}[random.IntN(5)]}
	case 6:
		return SickStore{Faults: []stand.StoreFaults{
			{DropAnswers: true}, {Refuse: true}, {Silent: true}, {Delay: 300 * time.Millisecond},
		}[random.IntN(4)]}
	default:
		return SlowLink{Server: s, Faults: []stand.LinkFaults{
			{DropForward: true}, {DropBackward: true}, {Delay: 200 * time.Millisecond},
		}[random.IntN(3)]}
	}
}

// apply makes a fault happen; what lasts ends with heal.
func (f *fleet) apply(ctx context.Context, fault Fault) error {
	now := time.Now()
	switch fault := fault.(type) {
	case CutStore:
		f.daemons[fault.Daemon].link.Faults.Set(stand.LinkFaults{DropForward: fault.Forward, DropBackward: fault.Backward})
	case DrainServer:
		s := f.servers[fault.Server]
		s.draining, s.drained = true, now
		return s.Register(f.store, true)
	case Pause:
		d := f.daemons[fault.Daemon]
		if err := d.signal(syscall.SIGSTOP); err != nil {
			return err
		}
		sleep(ctx, fault.For)
		return d.signal(syscall.SIGCONT)
	case Publish:
		return f.publish()
	case Restart:
		return f.restart(f.daemons[fault.Daemon], fault.Signal)
	case SickServer:
		f.servers[fault.Server].Faults.Set(fault.Faults)
	case SickStore:
		f.store.Faults.Set(fault.Faults)
	case SlowLink:
		f.servers[fault.Server].link.Faults.Set(fault.Faults)
	}
	return nil
}

// heal ends all faults that last.
func (f *fleet) heal() error {
	f.store.Faults.Set(stand.StoreFaults{})
	for _, d := range f.daemons {
		d.link.Faults.Set(stand.LinkFaults{})
	}
	for _, s := range f.servers {
		s.Faults.Set(stand.ServerFaults{})
		s.link.Faults.Set(stand.LinkFaults{})
		if !s.draining {
			continue
		}
		s.draining = false
		if err := s.Register(f.store, false); err != nil {
			return err
		}
	}
	return nil
}

// describe names faults for the report.
func describe(faults []Fault) string { return fmt.Sprintf("%+v", faults) }

func sleep(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
