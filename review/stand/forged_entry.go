package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Sizes and times of the scenarios.
const (
	daemonCount = 4
	serverCount = 5
	callerCount = 6
	busyCallers = 32
	callerPause = 100 * time.Millisecond
	timeout     = 1200 * time.Millisecond
	objective   = 800 * time.Millisecond
	settleTime  = 4 * time.Second
	// drainingFor is how long a server goes on after the store has accepted that it is draining.
	drainingFor   = drainTime + 3*time.Second
	callDeadline  = 2 * time.Second
	maxAttempts   = 2
	reserveTarget = "/reserve/a?work=600ms"
	// busyWork is shorter than the work of these requests.
	busyWork = 400 * time.Millisecond
)

// runForgedEntry has another writer store an entry without the field version, which says that a
// server of the second service belongs to the first one.
func runForgedEntry(ctx context.Context, l *lab, trouble bool) (bool, error) {
	if err := l.publish(); err != nil {
		return false, err
	}
	if _, err := l.startUpstreams(serverCount); err != nil {
		return false, err
	}
	other, err := l.startUpstream("i-other", otherService, netip.AddrPort{}, time.Now())
	if err != nil {
		return false, err
	}
	if err := l.addDaemons(daemonCount); err != nil {
		return false, err
	}
	stop := l.startCallers(ctx, callerCount)
	time.Sleep(settleTime)
	if trouble {
		l.forge(other, serviceName)
	}
	time.Sleep(forgedWatch)
	return l.foreignRuns(other, stop()), nil
}

const (
	forgedSequence = 1000
	forgedWatch    = 8 * time.Second
)

// forge stores an entry under the ID of a server: what the server says of itself, but with another
// service, without its version and with a sequence number of another writer.
func (l *lab) forge(u *upstream, service string) {
	u.mutex.Lock()
	forged := u.entryLocked()
	u.mutex.Unlock()
	forged.Service = service
	forged.Version = ""
	forged.Sequence = forgedSequence
	l.writeEntry(u.id, forged)
	l.log.printf("another writer stores an entry under %s: service %s, no version, seq %d", u.id, service, forged.Sequence)
}

// foreignRuns reports whether a server ran requests, all of which are for the service of the others. It
// also records how many of them were answered as served.
func (l *lab) foreignRuns(u *upstream, results []result) bool {
	status := make(map[string]int)
	for _, r := range results {
		status[r.id] = r.status
	}
	runs, served := 0, 0
	for _, a := range l.arrivalsOf("/") {
		if a.server != u.id {
			continue
		}
		runs++
		if status[a.id] == http.StatusOK {
			served++
		}
	}
	l.log.printf("%d requests for service %s ran at %s of service %s; clients got a success for %d of them",
		runs, serviceName, u.id, otherService, served)
	return runs > 0
}

// startUpstreams starts servers of the deployment's service.
func (l *lab) startUpstreams(count int) ([]*upstream, error) {
	var servers []*upstream
	for i := range count {
		u, err := l.startUpstream(fmt.Sprintf("i-%d", i+1), serviceName, netip.AddrPort{}, time.Now())
		if err != nil {
			return nil, err
		}
		servers = append(servers, u)
	}
	return servers, nil
}

// startCallers starts clients that send requests which may run once only to all daemons in turn.
// The returned function stops them and returns what they saw.
func (l *lab) startCallers(ctx context.Context, count int) func() []result {
	ctx, cancel := context.WithCancel(ctx)
	var mutex sync.Mutex
	var results []result
	var callers sync.WaitGroup
	for i := range count {
		callers.Go(func() {
			for turn := i; ctx.Err() == nil; turn++ {
				r := l.call(l.daemons[turn%len(l.daemons)], http.MethodPost, reserveTarget, []byte("bale"), callDeadline)
				mutex.Lock()
				results = append(results, r)
				mutex.Unlock()
				time.Sleep(callerPause)
			}
		})
	}
	return func() []result {
		cancel()
		callers.Wait()
		return results
	}
}

// lateAtDraining reports whether requests reached a server later than the bound after the store
// had acknowledged that it is draining. It also records those that were lost there.
func (l *lab) lateAtDraining(u *upstream, acknowledged time.Time, results []result) bool {
	late, lost := 0, 0
	answered := make(map[string]int)
	for _, r := range results {
		answered[r.id] = r.status
	}
	for _, a := range l.arrivalsOf("/") {
		if a.server == u.id && a.at.Sub(acknowledged) > drainTime {
			late++
			if answered[a.id] != http.StatusOK {
				lost++
				l.log.printf("lost: %s began to run at %s %d ms after the acknowledgement; the client got %d",
					a.id, u.id, a.at.Sub(acknowledged).Milliseconds(), answered[a.id])
			}
		}
	}
	l.log.printf("%d requests ran at %s later than %s after the acknowledgement; %d of them were lost", late, u.id, drainTime, lost)
	return late > 0
}
