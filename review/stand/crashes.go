package main

import (
	"context"
	"net/http"
	"net/netip"
	"syscall"
	"time"
)

// Times of the scenario, from the begin of the outage.
const (
	outage     = 8 * time.Second
	killAfter  = 6500 * time.Millisecond
	resumeAt   = 13 * time.Second
	crashPause = 2 * time.Second
	crashWatch = 60 * time.Second
	serverDown = 3 * time.Second
)

const (
	crashServers = 12
	// maxRetries is how many retries of a request that crashes servers may reach servers later
	// than contactTime after it has crashed maxCrashes of them.
	maxRetries  = 3
	maxCrashes  = 3
	crashTarget = "/reserve/" + crashPath
)

// runCrashes has a client send a request that crashes each server that runs it, again and again. The
// store is down while it crashes the first three, and before the store is back, all daemons are
// killed.
func runCrashes(ctx context.Context, l *lab, trouble bool) (bool, error) {
	l.onCrash = l.replaceCrashed()
	if err := l.publish(); err != nil {
		return false, err
	}
	if _, err := l.startUpstreams(crashServers); err != nil {
		return false, err
	}
	if err := l.addDaemons(daemonCount); err != nil {
		return false, err
	}
	stop := l.startCallers(ctx, callerCount)
	time.Sleep(settleTime)
	began := time.Now()
	disrupted := make(chan error, 1)
	go func() { disrupted <- l.loseCounts(trouble) }()
	turn := 0
	for ; turn < maxCrashes; turn++ {
		l.sendCrash(turn)
		time.Sleep(crashPause)
	}
	time.Sleep(resumeAt - time.Since(began))
	err := <-disrupted
	touchedFrom := time.Now()
	for ; time.Since(began) < crashWatch; turn++ {
		l.sendCrash(turn)
		time.Sleep(crashPause)
	}
	l.recordLost(touchedFrom, stop())
	return l.tooManyRetries(touchedFrom), err
}

// loseCounts takes the store down and kills all daemons before it is back.
func (l *lab) loseCounts(trouble bool) error {
	if !trouble {
		return nil
	}
	began := time.Now()
	l.setStoreDown(true)
	time.Sleep(killAfter)
	err := l.restart(l.daemons, syscall.SIGKILL)
	time.Sleep(outage - time.Since(began))
	l.setStoreDown(false)
	return err
}

// replaceCrashed returns a function that ends a server which a request has crashed, and starts it
// again after a while with a new ID.
func (l *lab) replaceCrashed() func(u *upstream) {
	return func(u *upstream) {
		go func() {
			u.end(false)
			time.Sleep(serverDown)
			if _, err := l.startUpstream(u.id+"b", serviceName, netip.AddrPort{}, time.Now()); err != nil {
				l.log.printf("restart failed: %v", err)
			}
		}()
	}
}

// sendCrash sends the request that crashes servers to one of the daemons.
func (l *lab) sendCrash(turn int) {
	l.call(l.daemons[turn%len(l.daemons)], http.MethodPost, crashTarget, []byte("bale"), callDeadline)
}

// tooManyRetries reports whether the request reached servers in too many retries later than the
// contact time after it had crashed the third, sent by machines in touch, which all are from a
// given time on.
func (l *lab) tooManyRetries(touchedFrom time.Time) bool {
	runs := l.arrivalsOf(crashPath)
	if len(runs) <= maxCrashes {
		l.log.printf("the request crashed %d servers", len(runs))
		return false
	}
	third := runs[maxCrashes-1].at
	late := 0
	for _, a := range runs[maxCrashes:] {
		if a.at.Sub(third) > contactTime && a.at.After(touchedFrom) {
			late++
			l.log.printf("retry %s crashed %s %.1f s after the third crash", a.id, a.server, a.at.Sub(third).Seconds())
		}
	}
	l.log.printf("%d retries reached servers later than %s after the third crash, %d are allowed", late, contactTime, maxRetries)
	return late > maxRetries
}

// recordLost records the requests of other clients that were lost since a time.
func (l *lab) recordLost(from time.Time, results []result) {
	lost := 0
	for _, r := range results {
		if r.sentAt.After(from) && r.status == http.StatusBadGateway {
			lost++
		}
	}
	l.log.printf("%d requests of other clients were answered 502 since then", lost)
}
