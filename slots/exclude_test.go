package slots_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"dandeliondoor/choose"
	"dandeliondoor/kernel"
	"dandeliondoor/logs"
	"dandeliondoor/slots"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

// askRecorder is a receiver that records asks and refuses them.
type askRecorder struct{ asks chan slots.AskRequest }

// Ask implements the method of a broker.
func (r *askRecorder) Ask(request slots.AskRequest, reply *slots.AskReply) error {
	r.asks <- request
	reply.Refused = &choose.Refused{Reason: choose.ReasonNoServer}
	return nil
}

// TestExcludedOfPart guards against asks that list excluded servers of other parts: with
// 1,499 of 1,500 servers excluded, a decision took 1.7 ms instead of 0.2 ms.
func TestExcludedOfPart(t *testing.T) {
	t.Parallel()
	const count = 1500
	recorder := &askRecorder{asks: make(chan slots.AskRequest, 1)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := wire.NewServer(&wire.Meter{})
	server.Add(func(*wire.Session) []wire.Receiver { return []wire.Receiver{{Name: "Slots", Methods: recorder}} })
	ctx, cancel := context.WithCancel(context.Background())
	end := kernel.Run(ctx, func(ctx context.Context) error { return server.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		if err := <-end; err != nil {
			t.Error(err)
		}
	})
	broker := topo.Daemon{Name: "front-0", Capacity: 1, Address: netip.MustParseAddrPort(listener.Addr().String())}
	var servers []topo.Server
	var excluded []string
	for i := range count {
		servers = append(servers, newServer(fmt.Sprintf("i-%d", i)))
		excluded = append(excluded, servers[i].ID)
	}
	view := newView([]topo.Daemon{broker}, servers...)
	views := &fixedView{self: topo.Daemon{Name: "front-1"}, view: view}
	client := slots.NewClient(views, wire.NewPeers(&wire.Meter{}), slots.NewBroker(limits, 1), slots.NewBroker(limits, 2), logs.Discard().Part(slots.Name))
	parts := topo.PartCount(1, count)
	total := 0
	for part := range parts {
		ask := choose.Ask{Left: time.Second, Exclude: excluded}
		if _, err := client.Ask(t.Context(), service, part, ask); err == nil {
			t.Fatal("an excluded server was granted")
		}
		total += len((<-recorder.asks).Ask.Exclude)
	}
	if total != count {
		t.Errorf("the asks for %d parts exclude %d servers, want each of %d once", parts, total, count)
	}
	if len(excluded) != count || excluded[0] != "i-0" {
		t.Error("an ask changed the caller's list")
	}
}
