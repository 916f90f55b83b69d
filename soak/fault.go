package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"dandeliondoor/fakes"
)

// Fault is one disturbance that a round injects.
type Fault interface{ isFault() }

// The kinds of faults. Their type and field names are part of the soak's output. A
// fault's Daemon and Server fields are indexes. A fault without a period lasts until
// the end of the round.
type (
	// CompactStore deletes all records of the store except the newest of each key.
	CompactStore struct{}
	// CrashRequests sends a request that crashes the servers that run it to the daemons in
	// turn, for the rest of the round.
	CrashRequests struct{}
	// CutDaemon injects faults into the network path from the other daemons to a daemon.
	CutDaemon struct {
		Daemon int
		Faults fakes.LinkFaults
	}
	// CutStore injects faults into the network path between a daemon and the store.
	CutStore struct {
		Daemon int
		Faults fakes.LinkFaults
	}
	// DrainServer drains a server until the end of the round.
	DrainServer struct{ Server int }
	// IdleLimits stores versions of the configuration that differ in the idle limit of
	// callers' connections.
	IdleLimits struct {
		Limits   []time.Duration
		Interval time.Duration
	}
	// LapseServer removes a server's entry from the store for a period.
	LapseServer struct {
		Server int
		Period time.Duration
	}
	// LongRequests sends a daemon requests on kept connections whose servers work for a
	// while, and whose route's timeout exceeds the limit of a stop. Pause is the time
	// between two parts of the body.
	LongRequests struct {
		Daemon int
		Works  []time.Duration
		Pause  time.Duration
	}
	// Pause stops a daemon's process with SIGSTOP and continues it after the period.
	Pause struct {
		Daemon int
		Period time.Duration
	}
	// Publish stores a new version of the configuration.
	Publish struct{}
	// Reload changes a daemon's settings file and sends SIGHUP, several times.
	Reload struct{ Daemon, Signals int }
	// ResetLinks resets the open connections of a server, of a daemon to the store, and
	// of other daemons to that daemon.
	ResetLinks struct{ Daemon, Server int }
	// Restart ends a daemon's process with a signal and starts it again.
	Restart struct {
		Daemon int
		Signal syscall.Signal
	}
	// RestoreStore makes the store unavailable for the outage and restores it from a copy of
	// the given age. The operator and the servers write their records again in the two
	// seconds after it.
	RestoreStore struct{ Age, Outage time.Duration }
	// SickServer injects faults into a server.
	SickServer struct {
		Server int
		Faults fakes.ServerFaults
	}
	// SickService injects the same faults into all servers.
	SickService struct{ Faults fakes.ServerFaults }
	// SickStore injects faults into the store.
	SickStore struct{ Faults fakes.StoreFaults }
	// SlowServer injects faults into the network path to a server.
	SlowServer struct {
		Server int
		Faults fakes.LinkFaults
	}
)

func (CompactStore) isFault()  {}
func (CrashRequests) isFault() {}
func (CutDaemon) isFault()     {}
func (CutStore) isFault()      {}
func (DrainServer) isFault()   {}
func (IdleLimits) isFault()    {}
func (LapseServer) isFault()   {}
func (LongRequests) isFault()  {}
func (Pause) isFault()         {}
func (Publish) isFault()       {}
func (Reload) isFault()        {}
func (ResetLinks) isFault()    {}
func (Restart) isFault()       {}
func (RestoreStore) isFault()  {}
func (SickServer) isFault()    {}
func (SickService) isFault()   {}
func (SickStore) isFault()     {}
func (SlowServer) isFault()    {}

// event is a fault and its delay from the start of the round.
type event struct {
	fault Fault
	delay time.Duration
}

// randomEvent returns an event that begins within maxDelay.
func randomEvent(random *rand.Rand, fault Fault) event {
	return event{fault: fault, delay: randomPeriod(random, maxDelay)}
}

// randomPeriod returns a period below a limit.
func randomPeriod(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}

// The second seeds of the sources of random numbers, each apart from the others so that the
// faults of older seeds stay the same. Each session has its own source.
const (
	endlessStream     = 1
	wishStream        = 2
	maintenanceStream = 3
	holdStream        = 4
	restoreStream     = 5
	sessionStream     = 1000
)

// Limits and probabilities of a round.
const (
	maxEvents = 4
	// maxDelay is the upper bound of an event's delay.
	maxDelay = 2 * time.Second
	// On average, one in roundsPerPlannedRound rounds consists of planned maintenance
	// only.
	roundsPerPlannedRound = 3
	minPause              = 200 * time.Millisecond
	maxPause              = 2 * time.Second
)

// randomRound returns the events of a round, and whether all of them are planned
// maintenance, during which no request may be lost.
func randomRound(random *rand.Rand, daemons, servers int) (events []event, planned bool) {
	planned = random.IntN(roundsPerPlannedRound) == 0
	for range 1 + random.IntN(maxEvents) {
		fault := randomFault(random, daemons, servers)
		if planned {
			fault = randomPlannedFault(random, daemons, servers)
		}
		events = append(events, randomEvent(random, fault))
	}
	return events, planned
}

func randomPlannedFault(random *rand.Rand, daemons, servers int) Fault {
	switch random.IntN(4) {
	case 0:
		return DrainServer{Server: random.IntN(servers)}
	case 1:
		return Publish{}
	default:
		return Restart{Daemon: random.IntN(daemons), Signal: syscall.SIGTERM}
	}
}

// randomFault returns a random fault for a fleet of the given size.
func randomFault(random *rand.Rand, daemons, servers int) Fault {
	d, s := random.IntN(daemons), random.IntN(servers)
	switch random.IntN(12) {
	case 0:
		return CompactStore{}
	case 1:
		return CutDaemon{Daemon: d, Faults: randomLinkFaults(random)}
	case 2:
		return CutStore{Daemon: d, Faults: randomLinkFaults(random)}
	case 3:
		return DrainServer{Server: s}
	case 4:
		return Pause{Daemon: d, Period: minPause + randomPeriod(random, maxPause-minPause)}
	case 5:
		return Publish{}
	case 6:
		return ResetLinks{Daemon: d, Server: s}
	case 7:
		return Restart{Daemon: d, Signal: []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[random.IntN(2)]}
	case 8:
		return SickServer{Server: s, Faults: randomServerFaults(random)}
	case 9:
		return SickService{Faults: randomServerFaults(random)}
	case 10:
		return SickStore{Faults: []fakes.StoreFaults{
			{DropAnswers: true}, {Refuse: true}, {Silent: true}, {Delay: 300 * time.Millisecond},
		}[random.IntN(4)]}
	default:
		return SlowServer{Server: s, Faults: randomLinkFaults(random)}
	}
}

func randomServerFaults(random *rand.Rand) fakes.ServerFaults {
	return []fakes.ServerFaults{
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

// randomEndless returns, for one in four rounds, a server that sends bytes without end.
func randomEndless(random *rand.Rand, servers int) []event {
	const roundsPerFault = 4
	if random.IntN(roundsPerFault) > 0 {
		return nil
	}
	faults := []fakes.ServerFaults{{EndlessBody: true}, {EndlessHead: true}}[random.IntN(2)]
	return []event{randomEvent(random, SickServer{Server: random.IntN(servers), Faults: faults})}
}

// randomWishes returns, for half of the rounds, requests that crash servers, and for one
// in four a server that leaves or wants no requests for a while.
func randomWishes(random *rand.Rand, servers int) []event {
	var events []event
	if random.IntN(2) == 0 {
		events = append(events, randomEvent(random, CrashRequests{}))
	}
	switch s := random.IntN(servers); random.IntN(8) {
	case 0:
		events = append(events, randomEvent(random, SickServer{Server: s, Faults: fakes.ServerFaults{Leaving: true}}))
	case 1:
		faults := fakes.ServerFaults{Shed: true, RetryAfter: time.Second}
		events = append(events, randomEvent(random, SickServer{Server: s, Faults: faults}))
	}
	return events
}

// Bounds of the age of a copy that the store is restored from, and of the outage before.
const (
	maxCopyAge       = 4 * time.Second
	maxRestoreOutage = time.Second
)

// randomRestore returns, for one in three rounds, a restore of the store.
func randomRestore(random *rand.Rand) []event {
	const roundsPerRestore = 3
	if random.IntN(roundsPerRestore) > 0 {
		return nil
	}
	fault := RestoreStore{Age: randomPeriod(random, maxCopyAge), Outage: randomPeriod(random, maxRestoreOutage)}
	return []event{randomEvent(random, fault)}
}

func randomLinkFaults(random *rand.Rand) fakes.LinkFaults {
	return []fakes.LinkFaults{
		{DropForward: true, DropBackward: true},
		{DropForward: true},
		{DropBackward: true},
		{Delay: 200 * time.Millisecond},
	}[random.IntN(4)]
}

// describe returns the events of a round as text for the report.
func describe(events []event) string {
	names := make([]string, len(events))
	for i, e := range events {
		names[i] = fmt.Sprintf("%T%+v after %s", e.fault, e.fault, e.delay.Round(time.Millisecond))
	}
	return strings.Join(names, ", ")
}
