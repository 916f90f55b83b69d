package slots_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/choose"
	"dandeliondoor/feed"
	"dandeliondoor/kernel"
	"dandeliondoor/logs"
	"dandeliondoor/slots"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

const service = "souk"

var limits = choose.RetryLimits{Ratio: 0.2, Window: 10 * time.Second, Slack: 20}

// views is a fixed view of one daemon.
type views struct {
	self topo.Daemon
	view *feed.View
}

func (v *views) View() *feed.View { return v.view }

func (v *views) Self() topo.Daemon { return v.self }

// newView returns a view with daemons and servers.
func newView(daemons []topo.Daemon, servers ...topo.Server) *feed.View {
	view := &feed.View{Servers: make(map[string]topo.Server), Services: make(map[string][]topo.Server), Daemons: daemons}
	for _, server := range servers {
		view.Servers[server.ID] = server
		view.Services[server.Service] = append(view.Services[server.Service], server)
	}
	return view
}

func newServer(id string) topo.Server { return topo.Server{ID: id, Service: service, Slots: 3} }

// peer is a daemon that brokers for others.
type peer struct {
	daemon  topo.Daemon
	broker  *slots.Broker
	service *slots.Service
}

// newPeer serves a broker until the test ends.
func newPeer(t *testing.T, name string) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{broker: slots.NewBroker(limits, 1)}
	p.daemon = topo.Daemon{Name: name, Capacity: 1, Address: netip.MustParseAddrPort(listener.Addr().String())}
	p.service = slots.NewService(p.broker)
	server := wire.NewServer(&wire.Meter{})
	server.Add(p.service.Receivers)
	ctx, cancel := context.WithCancel(context.Background())
	end := kernel.Run(ctx, func(ctx context.Context) error { return server.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		if err := <-end; err != nil {
			t.Error(err)
		}
	})
	return p
}

// fleet is the daemons that broker, by falling rank, and the client of one that
// ranks below them.
type fleet struct {
	views   *views
	brokers []*peer
	client  *slots.Client
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{}
	var daemons []topo.Daemon
	for i := range 4 {
		p := newPeer(t, fmt.Sprintf("front-%d", i))
		f.brokers = append(f.brokers, p)
		daemons = append(daemons, p.daemon)
	}
	ranked := topo.RankDaemons(service, daemons)
	slices.SortFunc(f.brokers, func(a, b *peer) int { return slices.Index(ranked, a.daemon) - slices.Index(ranked, b.daemon) })
	self := topo.Daemon{Name: "front-4", Capacity: 0.01, Address: netip.MustParseAddrPort("127.0.0.1:1")}
	view := newView(append(daemons, self), newServer("i-1"))
	f.views = &views{self: self, view: view}
	alone := slots.NewBroker(limits, 2)
	alone.SetView(time.Now(), view)
	f.client = slots.NewClient(f.views, wire.NewPeers(&wire.Meter{}), slots.NewBroker(limits, 3), alone, logs.Discard().Part(slots.Name))
	for _, p := range f.brokers {
		p.broker.SetView(time.Now(), view)
	}
	return f
}

func (f *fleet) ask(t *testing.T) (*slots.Lease, error) {
	t.Helper()
	return f.client.Ask(t.Context(), service, 0, choose.Ask{Route: "bales", Objective: time.Second, Left: time.Second})
}

// TestBrokers looks at which daemon decides.
func TestBrokers(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		change func(f *fleet)
		broker int
		alone  bool
	}{
		{name: "first knows no server", change: func(f *fleet) { f.brokers[0].broker.SetView(time.Now(), newView(nil)) }, broker: 1},
		{name: "first stops", change: func(f *fleet) { _ = f.brokers[0].service.Drain(context.Background()) }, broker: 1},
		{name: "none decides", change: func(f *fleet) {
			for _, p := range f.brokers {
				_ = p.service.Drain(context.Background())
			}
		}, alone: true},
		{name: "usual", change: func(*fleet) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			test.change(f)
			lease, err := f.ask(t)
			if err != nil {
				t.Fatal(err)
			}
			if lease.Fallback != test.alone || (!test.alone && lease.Broker != f.brokers[test.broker].daemon) {
				t.Errorf("lease %+v, want broker %d, alone %t", lease, test.broker, test.alone)
			}
		})
	}
}

// TestOlderBroker gets a server from a broker whose view is older: it is not used
// if this daemon knows that it leaves or left.
func TestOlderBroker(t *testing.T) {
	t.Parallel()
	draining := newServer("i-1")
	draining.Draining = true
	for _, test := range []struct {
		name string
		view func(daemons []topo.Daemon) *feed.View
	}{
		{name: "leaves", view: func(daemons []topo.Daemon) *feed.View { return newView(daemons, draining) }},
		{name: "left", view: func(daemons []topo.Daemon) *feed.View { return newView(daemons, newServer("i-2")) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.views.view = test.view(f.views.view.Daemons)
			lease, err := f.ask(t)
			var unknown *slots.UnusableServerError
			if !errors.As(err, &unknown) || unknown.Server != "i-1" {
				t.Errorf("lease %+v, error %v", lease, err)
			}
		})
	}
}

// TestParts divides the servers of a large service among several daemons: each
// server belongs to one part, each content to one, and a refusal moves on.
func TestParts(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		servers int
		parts   int
	}{
		{name: "few", servers: 200, parts: 1},
		{name: "more", servers: 201, parts: 2},
		{name: "none", parts: 1},
		{name: "very many", servers: 1500, parts: 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			if parts := slots.PartsOf(test.servers); parts != test.parts {
				t.Fatalf("%d parts, want %d", parts, test.parts)
			}
			var servers []topo.Server
			for i := range test.servers {
				servers = append(servers, newServer(fmt.Sprintf("i-%d", i)))
			}
			broker := slots.NewBroker(limits, 1)
			broker.SetView(time.Now(), newView(nil, servers...))
			given := make(map[string]int)
			for part := range test.parts {
				key := slots.PoolKey{Service: service, Part: part, Parts: test.parts}
				for _, server := range fill(broker, key) {
					given[server]++
				}
			}
			if len(given) != test.servers {
				t.Errorf("%d of %d servers belong to a part", len(given), test.servers)
			}
			for server, parts := range given {
				if parts != 1 {
					t.Fatalf("%s belongs to %d parts", server, parts)
				}
			}
		})
	}
}

// fill asks a pool until each of its servers was given, and returns them.
func fill(broker *slots.Broker, key slots.PoolKey) []string {
	var servers []string
	for ticket := uint64(1); ; ticket++ {
		ask := choose.Ask{Ticket: ticket, Left: time.Minute, Exclude: servers}
		granted, isGranted := broker.Ask(time.Now(), slots.AskRequest{Pool: key, Ask: ask}).(choose.Granted)
		if !isGranted {
			return servers
		}
		servers = append(servers, granted.Server)
	}
}
