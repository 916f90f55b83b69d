package slots_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dandeliondoor/choose"
	"dandeliondoor/slots"
	"dandeliondoor/topo"
)

// TestLeavingAtBroker guards against a broker that takes more from a service than the
// server that one daemon heard leave, or that assigns this one to other daemons again
// while the list shows the same start.
func TestLeavingAtBroker(t *testing.T) {
	t.Parallel()
	const count = 195
	var servers []topo.Server
	for i := range count {
		servers = append(servers, newServer(fmt.Sprintf("i-%d", i)))
		servers[i].Born = 7
	}
	leaving := servers[0]
	restarted := slices.Clone(servers)
	restarted[0].Born++
	var grown []topo.Server
	for i := range 2 * count {
		grown = append(grown, newServer(fmt.Sprintf("i-%d", i)))
		grown[i].Born = 7
	}
	for _, test := range []struct {
		name   string
		born   int64
		listed []topo.Server
		parts  int
		lost   bool
	}{
		{name: "another start", born: 6, listed: servers, parts: 1},
		{name: "new list", born: 7, listed: slices.Clone(servers), parts: 1, lost: true},
		{name: "parts divided", born: 7, listed: grown, parts: 2, lost: true},
		{name: "restarted", born: 7, listed: restarted, parts: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			broker, now := slots.NewBroker(limits, 1), time.Now()
			broker.SetView(now, newView(nil, servers...))
			key := slots.PoolKey{Service: service, Parts: 1}
			if got := runOn(t, broker, key, now, others(servers, leaving.ID), choose.Cancelled); got != leaving.ID {
				t.Fatalf("got %s", got)
			}
			broker.Release(now, slots.ReleaseRequest{Pool: key, Release: choose.Release{
				Daemon: "front-1", Server: leaving.ID, Born: test.born, Outcome: choose.Served, Leaving: true, Running: -1,
			}})
			broker.SetView(now, newView(nil, test.listed...))
			var given []string
			for part := range test.parts {
				given = append(given, fill(broker, slots.PoolKey{Service: service, Part: part, Parts: test.parts})...)
			}
			want := len(test.listed)
			if test.lost {
				want--
			}
			if len(given) != want || slices.Contains(given, leaving.ID) == test.lost {
				t.Errorf("%d of %d servers assigned, want %d; the leaving one among them: %t",
					len(given), len(test.listed), want, slices.Contains(given, leaving.ID))
			}
		})
	}
}
