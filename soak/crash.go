package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"dandeliondoor/fakes"
	"dandeliondoor/kernel"
	"dandeliondoor/platform"
)

// The platform's limits for requests that crash servers, and the stand-ins' behavior.
const (
	// crashesAllowed is how many servers a request may crash; later than contactTime
	// after that, it may reach servers in crashRetries retries.
	crashesAllowed = 3
	crashRetries   = 3
	contactTime    = 3 * time.Second
	// crashDowntime is how long a crashed server is down.
	crashDowntime = 1500 * time.Millisecond
	// crashInterval is the pause between two crashing requests, and crashPeriod how
	// long they are sent in a round.
	crashInterval = 100 * time.Millisecond
	crashPeriod   = 5 * time.Second
)

// crashRecord is what the servers saw of the request that crashes them, and its calls. Late counts the
// retries beyond the limit's time, and calmSince is when the last disturbance of the
// daemons or the store ended, or zero during one.
type crashRecord struct {
	calls     []call
	crashes   []time.Time
	late      int
	calmSince time.Time
}

// disturbs reports whether an event takes daemons or the store out of touch, for which
// the limit of retries does not hold.
func disturbs(e event) bool {
	switch e.fault.(type) {
	case CutDaemon, CutStore, Pause, RestoreStore, SickStore:
		return true
	default:
		return false
	}
}

func (f *fleet) setDisturbed(disturbed bool) {
	f.crashMutex.Lock()
	defer f.crashMutex.Unlock()
	f.crashes.calmSince = time.Time{}
	if !disturbed {
		f.crashes.calmSince = time.Now()
	}
}

// crashHandler lets a server handle its requests, but for those that crash it.
func (f *fleet) crashHandler(ctx context.Context, s *server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		expected := r.Header.Get(platform.HeaderInstance)
		if !strings.HasSuffix(r.URL.Path, fakes.CrashPath) || s.Faults.Get() != (fakes.ServerFaults{}) || expected != s.ID() {
			s.ServeHTTP(w, r)
			return
		}
		now := time.Now()
		f.recordCrash(now)
		recovered := f.history.begin(now, mark{kind: serverDisturbed, name: s.ID()})
		s.link.Faults.Set(fakes.LinkFaults{Refuse: true})
		s.link.Reset()
		restarted := kernel.Run(ctx, func(ctx context.Context) error {
			sleep(ctx, crashDowntime)
			s.link.Faults.Set(fakes.LinkFaults{})
			s.Restart()
			recovered(time.Now())
			return s.Register(f.store, false)
		})
		f.crashMutex.Lock()
		f.results = append(f.results, restarted)
		f.crashMutex.Unlock()
		panic(http.ErrAbortHandler)
	})
}

func (f *fleet) recordCrashCall(c call) {
	f.crashMutex.Lock()
	defer f.crashMutex.Unlock()
	f.crashes.calls = append(f.crashes.calls, c)
}

// recordCrash records a crash, and whether the limit forbids its request.
func (f *fleet) recordCrash(now time.Time) {
	f.crashMutex.Lock()
	defer f.crashMutex.Unlock()
	c := &f.crashes
	inTouch := !c.calmSince.IsZero() && now.Sub(c.calmSince) > contactTime
	if len(c.crashes) >= crashesAllowed && now.Sub(c.crashes[crashesAllowed-1]) > contactTime && inTouch {
		c.late++
	}
	c.crashes = append(c.crashes, now)
}

// sendCrashing sends the request that crashes servers to the daemons in turn.
func (f *fleet) sendCrashing(ctx context.Context) error {
	end := time.Now().Add(crashPeriod)
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		d := f.daemons[i%len(f.daemons)]
		c := f.keyedCall(http.MethodGet)
		c.id, c.daemon, c.sentAt = fmt.Sprintf("crash-%d-%d", end.UnixNano(), i), d.name, time.Now()
		roundTrip(ctx, d, &c, "/lots"+fakes.CrashPath, "")
		f.recordCrashCall(c)
		sleep(ctx, crashInterval)
	}
	return nil
}

// checkCrashes checks the number of retries beyond the limit's time.
func (f *fleet) checkCrashes(r *recorder, name string) {
	f.crashMutex.Lock()
	defer f.crashMutex.Unlock()
	if f.crashes.late > crashRetries {
		r.addFinding("%s: a request that crashes servers reached %d of them later than %s after it had crashed %d; %d crashes in all",
			name, f.crashes.late, contactTime, crashesAllowed, len(f.crashes.crashes))
	}
}
