package slots_test

import (
	"testing"
	"time"

	"dandeliondoor/choose"
	"dandeliondoor/crash"
)

// TestAnnouncedEnds guards against the refusal of a harmless request that got no response
// from servers that had announced their end and were started anew.
func TestAnnouncedEnds(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		inStore bool
	}{
		{name: "in a response"},
		{name: "in the store", inStore: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p := newCrashPlay(crashesAllowed + 1)
			for range crashesAllowed {
				p.loseAnnounced(t, test.inStore)
			}
			if _, granted := p.ask(service, crashing); !granted {
				t.Errorf("refused after the announced ends of %d servers", crashesAllowed)
			}
		})
	}
}

// loseAnnounced sends a request that a server does not answer in time, and one that it
// answers; then the server announces its end and is started anew.
func (p *crashPlay) loseAnnounced(t *testing.T, inStore bool) {
	t.Helper()
	silent, granted := p.ask(service, crashing)
	if !granted {
		t.Fatal("no server granted")
	}
	id := silent.Release.Server
	answered := silent
	answered.Release.Identity = crash.Identity{Caller: crashing + 1}
	answered.Release.Ticket = 0
	answered.Release.Leaving = !inStore
	silent.Release.Loss = choose.LossSilent
	p.release(silent, choose.TimedOut)
	p.release(answered, choose.Served)
	for i := range p.servers {
		if p.servers[i].ID == id {
			p.servers[i].Draining = inStore
		}
	}
	p.publish()
	p.now = p.now.Add(time.Second)
	for i := range p.servers {
		if p.servers[i].ID == id {
			p.servers[i].Draining = false
		}
	}
	p.restart(id, true)
}
