package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"dandeliondoor/stand"
)

// Fault is one trouble of a round.
type Fault interface{ isFault() }

// The kinds of faults. Each names its target by number; what has no period lasts
// until the end of the round.
type (
	// CompactStore deletes the store's history but for the newest of each key.
	CompactStore struct{}
	// CutDaemon spoils the path on which other daemons reach a daemon.
	CutDaemon struct {
		Daemon int
		Faults stand.LinkFaults
	}
	// CutStore spoils the path between a daemon and the store.
	CutStore struct {
		Daemon int
		Faults stand.LinkFaults
	}
	// DrainServer lets a server drain and come back at the end of the round.
	DrainServer struct{ Server int }
	// Pause stops a daemon's process and lets it go on.
	Pause struct {
		Daemon int
		Period time.Duration
	}
	// Publish stores a new configuration.
	Publish struct{}
	// ResetLinks resets the open connections to a daemon and a server.
	ResetLinks struct{ Daemon, Server int }
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
	// SickService gives all servers a fault.
	SickService struct{ Faults stand.ServerFaults }
	// SickStore gives the store a fault.
	SickStore struct{ Faults stand.StoreFaults }
	// SlowServer spoils the path to a server.
	SlowServer struct {
		Server int
		Faults stand.LinkFaults
	}
)

func (CompactStore) isFault() {}
func (CutDaemon) isFault()    {}
func (CutStore) isFault()     {}
func (DrainServer) isFault()  {}
func (Pause) isFault()        {}
func (Publish) isFault()      {}
func (ResetLinks) isFault()   {}
func (Restart) isFault()      {}
func (SickServer) isFault()   {}
func (SickService) isFault()  {}
func (SickStore) isFault()    {}
func (SlowServer) isFault()   {}

// event is a fault and when in its round it comes.
type event struct {
	fault Fault
	after time.Duration
}

// The shape of a round.
const (
	maxEvents = 4
	// maxAfter is the latest start of a fault within its round.
	maxAfter = 2 * time.Second
	// plannedPart is how many rounds there are for each one that holds planned
	// work alone.
	plannedPart = 3
	minPause    = 200 * time.Millisecond
	maxPause    = 2 * time.Second
)

// drawRound returns the events of a round, and whether all are planned work, by
// which no request may be lost.
func drawRound(random *rand.Rand, daemons, servers int) (events []event, planned bool) {
	planned = random.IntN(plannedPart) == 0
	for range 1 + random.IntN(maxEvents) {
		fault := draw(random, daemons, servers)
		if planned {
			fault = drawPlanned(random, daemons, servers)
		}
		events = append(events, event{fault: fault, after: time.Duration(random.Int64N(int64(maxAfter)))})
	}
	return events, planned
}

func drawPlanned(random *rand.Rand, daemons, servers int) Fault {
	switch random.IntN(4) {
	case 0:
		return DrainServer{Server: random.IntN(servers)}
	case 1:
		return Publish{}
	default:
		return Restart{Daemon: random.IntN(daemons), Signal: syscall.SIGTERM}
	}
}

// draw returns a random fault for a fleet of that size.
func draw(random *rand.Rand, daemons, servers int) Fault {
	d, s := random.IntN(daemons), random.IntN(servers)
	switch random.IntN(12) {
	case 0:
		return CompactStore{}
	case 1:
		return CutDaemon{Daemon: d, Faults: drawLink(random)}
	case 2:
		return CutStore{Daemon: d, Faults: drawLink(random)}
	case 3:
		return DrainServer{Server: s}
	case 4:
		return Pause{Daemon: d, Period: minPause + time.Duration(random.Int64N(int64(maxPause-minPause)))}
	case 5:
		return Publish{}
	case 6:
		return ResetLinks{Daemon: d, Server: s}
	case 7:
		return Restart{Daemon: d, Signal: []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[random.IntN(2)]}
	case 8:
		return SickServer{Server: s, Faults: drawSickness(random)}
	case 9:
		return SickService{Faults: drawSickness(random)}
	case 10:
		return SickStore{Faults: []stand.StoreFaults{
			{DropAnswers: true}, {Refuse: true}, {Silent: true}, {Delay: 300 * time.Millisecond},
		}[random.IntN(4)]}
	default:
		return SlowServer{Server: s, Faults: drawLink(random)}
	}
}

func drawSickness(random *rand.Rand) stand.ServerFaults {
	return []stand.ServerFaults{
		{Cut: true},
		{Fail: true},
		{Foreign: true},
		{Moved: true},
		{Mute: true},
		{Shed: true},
		{Short: true, Size: 1 << 20},
		{Unsigned: true},
		{Work: time.Second},
		{Work: 3 * time.Second},
	}[random.IntN(10)]
}

func drawLink(random *rand.Rand) stand.LinkFaults {
	return []stand.LinkFaults{
		{DropForward: true, DropBackward: true},
		{DropForward: true},
		{DropBackward: true},
		{Delay: 200 * time.Millisecond},
	}[random.IntN(4)]
}

// describe names the events of a round for the report.
func describe(events []event) string {
	names := make([]string, len(events))
	for i, e := range events {
		names[i] = fmt.Sprintf("%T%+v after %s", e.fault, e.fault, e.after.Round(time.Millisecond))
	}
	return strings.Join(names, ", ")
}
