package procs_test

import (
	"net/http"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"dandeliondoor/fakes"
)

// TestFrontHoldsSurvive guards against a daemon that forgets a server's pause when the
// settings, the configuration, the list or the brokers change. Only a new start of the
// server ends it.
func TestFrontHoldsSurvive(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		play  func(t *testing.T, f *frontFleet, busy *fakes.Server)
		alive int
		freed bool
	}{
		{name: "all other daemons killed", alive: 2, play: func(t *testing.T, f *frontFleet, _ *fakes.Server) {
			for _, p := range f.fronts[:2] {
				p.signal(t, syscall.SIGKILL)
				p.waitExit(t)
			}
		}},
		{name: "another daemon stopped", alive: 1, play: func(t *testing.T, f *frontFleet, _ *fakes.Server) {
			f.fronts[0].signal(t, syscall.SIGTERM)
			f.fronts[0].waitExit(t)
		}},
		{name: "entry lapses and comes back", play: func(t *testing.T, f *frontFleet, busy *fakes.Server) {
			busy.Leave(f.store)
			f.sendForAWhile(0)
			must(t, busy.Register(f.store, false))
		}},
		{name: "new configuration and list", play: func(t *testing.T, f *frontFleet, busy *fakes.Server) {
			must(t, busy.Register(f.store, false))
			f.publishConfig(2, "sacks")
			f.eventually("the new configuration", func() bool {
				_, status, _, err := f.send(f.fronts[0], http.MethodPost, "/sacks/1", "")
				return err == nil && status == http.StatusOK
			})
		}},
		{name: "new start", freed: true, play: func(t *testing.T, f *frontFleet, busy *fakes.Server) {
			busy.Restart()
			must(t, busy.Register(f.store, false))
		}},
		{name: "settings reloaded", play: func(t *testing.T, f *frontFleet, _ *fakes.Server) {
			for _, p := range f.fronts {
				text, err := os.ReadFile(p.settingsFile)
				must(t, err)
				must(t, os.WriteFile(p.settingsFile, append(text, "retries: {ratio: 0.1, slack: 3}\n"...), 0o600))
				p.signal(t, syscall.SIGHUP)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFrontFleet(t, 3, 2)
			busy := f.servers[0]
			f.pauseForAll(busy)
			before := len(busy.Arrivals())
			test.play(t, f, busy)
			if test.freed {
				f.eventually("requests of each daemon to the new start", func() bool {
					f.sendForAWhile(0)
					return len(busy.Arrivals()) > before
				})
				return
			}
			if served := f.sendForAWhile(test.alive); served == 0 {
				t.Error("no request was served")
			}
			if arrived := len(busy.Arrivals()) - before; arrived > 0 {
				t.Errorf("%d requests reached the server within its pause", arrived)
			}
		})
	}
}

// pauseForAll makes a server ask each daemon for a long pause, and then respond as usual.
func (f *frontFleet) pauseForAll(server *fakes.Server) {
	f.t.Helper()
	server.Faults.Set(fakes.ServerFaults{Shed: true, RetryAfter: time.Hour})
	for _, p := range f.fronts {
		f.eventually("a request of "+p.name+" to be turned away", func() bool {
			id, _, _, err := f.send(p, http.MethodGet, "/lots/1", "")
			must(f.t, err)
			return slices.ContainsFunc(server.Arrivals(), func(a fakes.Arrival) bool { return a.ID == id })
		})
	}
	server.Faults.Set(fakes.ServerFaults{})
}

// sendForAWhile sends requests to the daemons from an index on and returns how many were
// served.
func (f *frontFleet) sendForAWhile(first int) int {
	f.t.Helper()
	served := 0
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, p := range f.fronts[first:] {
			if _, status, _, err := f.send(p, http.MethodGet, "/lots/1", ""); err == nil && status == http.StatusOK {
				served++
			}
		}
	}
	return served
}

// TestFrontFaultyLeaving guards against a server whose responses always say that it
// leaves, although it stays: the daemons must lose this server alone, and only until it
// starts again.
func TestFrontFaultyLeaving(t *testing.T) {
	t.Parallel()
	f := newFrontFleet(t, 3, 4)
	faulty := f.servers[0]
	faulty.Faults.Set(fakes.ServerFaults{Leaving: true})
	f.eventually("a response of the faulty server", func() bool {
		f.sendToAll(t)
		return len(faulty.Arrivals()) > 0
	})
	var before []int
	for _, server := range f.servers {
		before = append(before, len(server.Arrivals()))
	}
	f.sendToAllFor(t, 3*time.Second)
	for i, server := range f.servers[1:] {
		if len(server.Arrivals()) == before[i+1] {
			t.Errorf("%s got no requests", server.ID())
		}
	}
	if arrived := len(faulty.Arrivals()); arrived > len(f.fronts) {
		t.Errorf("%d requests reached the faulty server, want one per daemon at most", arrived)
	}
	faulty.Faults.Set(fakes.ServerFaults{})
	faulty.Restart()
	must(t, faulty.Register(f.store, false))
	stopped := len(faulty.Arrivals())
	f.eventually("requests to the new start", func() bool {
		f.sendToAll(t)
		return len(faulty.Arrivals()) > stopped
	})
}

// TestFrontPausedService lets all servers of a service but one turn a request away for
// long, then all. The last one must get all requests that the service gets, and when it
// is in a pause as well, requests must be refused until it ends, and then be served.
func TestFrontPausedService(t *testing.T) {
	t.Parallel()
	const pause = 3 * time.Second
	f := newFrontFleet(t, 1, 5)
	last := f.servers[4]
	for _, server := range f.servers[:4] {
		f.pauseForAll(server)
	}
	var before []int
	for _, server := range f.servers {
		before = append(before, len(server.Arrivals()))
	}
	f.sendToAllFor(t, time.Second)
	for i, server := range f.servers[:4] {
		if arrived := len(server.Arrivals()) - before[i]; arrived > 0 {
			t.Errorf("%d requests reached %s within its pause", arrived, server.ID())
		}
	}
	last.Faults.Set(fakes.ServerFaults{Shed: true, RetryAfter: pause})
	if _, status, _, err := f.send(f.fronts[0], http.MethodGet, "/lots/1", ""); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("status %d, error %v of the request that the last server turned away", status, err)
	}
	last.Faults.Set(fakes.ServerFaults{})
	turnedAway := len(last.Arrivals())
	f.eventually("requests to be served again", func() bool {
		_, status, _, err := f.send(f.fronts[0], http.MethodGet, "/lots/1", "")
		return err == nil && status == http.StatusOK
	})
	arrivals := last.Arrivals()
	if arrivals[turnedAway].At.Before(arrivals[turnedAway-1].At.Add(pause)) {
		t.Error("a request reached the last server within its pause")
	}
}

// sendToAllFor sends requests to all daemons for a period. All must be served.
func (f *frontFleet) sendToAllFor(t *testing.T, period time.Duration) {
	t.Helper()
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		f.sendToAll(t)
	}
}
