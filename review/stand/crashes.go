package main

import (
	"net/http"
	"net/netip"
	"time"
)

const (
	crashPause = 2 * time.Second
	serverDown = 3 * time.Second
	// maxRetries is how many retries of a request that crashes servers may reach servers later
	// than contactTime after it has crashed maxCrashes of them.
	maxRetries  = 3
	maxCrashes  = 3
	crashTarget = "/reserve/" + crashPath
)

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
	third := runs[maxCrashes-1].ranAt
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
