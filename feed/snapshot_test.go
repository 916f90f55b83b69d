package feed_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"dandeliondoor/feed"
	"dandeliondoor/topo"
)

// TestSnapshot checks that a new daemon gets all tables of a large fleet from another
// one, and afterwards single changes.
func TestSnapshot(t *testing.T) {
	t.Parallel()
	const servers = 2000
	z := newZone(t, 2)
	for i := range servers {
		id := fmt.Sprintf("s-%04d", i)
		z.servers.put(id, topo.Server{
			ID: id, Service: "caisse", Slots: 3, Born: int64(i), ColdUntil: time.Now().Add(time.Minute),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		})
	}
	z.seeds = []netip.AddrPort{z.feeds[0].Self().Address}
	z.start(t, 2)
	z.waitFor(t, 2, "all servers and the configuration", func(view *feed.View) bool {
		return view.Table != nil && len(view.Servers) == servers+2
	})
	want, got := z.feeds[0].View(), z.feeds[2].View()
	for id, server := range want.Servers {
		if !got.Servers[id].EqualExceptWarmUp(server) {
			t.Fatalf("got %+v, want %+v", got.Servers[id], server)
		}
	}
	if got.Table.Config.Version != want.Table.Config.Version {
		t.Errorf("got version %d, want %d", got.Table.Config.Version, want.Table.Config.Version)
	}
	z.servers.remove("s-0000")
	z.waitFor(t, 2, "removal", without("s-0000"))
}
