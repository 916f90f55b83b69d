package feed_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"dandeliondoor/feed"
	"dandeliondoor/kernel"
	"dandeliondoor/logs"
	"dandeliondoor/stand"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

const (
	interval = 20 * time.Millisecond
	stale    = 300 * time.Millisecond
	patience = 10 * time.Second
)

var errCut = errors.New("store is cut off")

// table is one part of a store that all daemons of a test share.
type table[V any] struct {
	mutex  sync.Mutex
	values map[string]V
}

func newTable[V any]() *table[V] { return &table[V]{values: make(map[string]V)} }

func (s *table[V]) put(key string, value V) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.values[key] = value
}

func (s *table[V]) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.values, key)
}

// poller is one daemon's access to a table; it lists all keys at each poll.
type poller[V any] struct {
	table *table[V]
	path  *path
}

// path is one daemon's way to the store.
type path struct {
	mutex sync.Mutex
	cut   bool
	polls int
}

func (p *path) set(cut bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cut = cut
}

func (p *path) use() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.polls++
	if p.cut {
		return errCut
	}
	return nil
}

func (p *poller[V]) Relist() {}

func (p *poller[V]) Poll(ctx context.Context, wait time.Duration) ([]topo.Change[V], bool, error) {
	if wait > 0 {
		select {
		case <-ctx.Done():
			return nil, false, ctx.Err()
		case <-time.After(interval):
		}
	}
	if err := p.path.use(); err != nil {
		return nil, false, err
	}
	p.table.mutex.Lock()
	defer p.table.mutex.Unlock()
	var changes []topo.Change[V]
	for key, value := range p.table.values {
		changes = append(changes, topo.Change[V]{Key: key, Value: value})
	}
	return changes, true, nil
}

type registry struct{ poller[topo.Daemon] }

func (r *registry) Announce(_ context.Context, daemon topo.Daemon) error {
	if err := r.path.use(); err != nil {
		return err
	}
	r.table.put(daemon.Name, daemon)
	return nil
}

func (r *registry) Withdraw(_ context.Context, name string) error {
	r.table.remove(name)
	return nil
}

// zone is some daemons of one availability zone before one store.
type zone struct {
	configs *table[*topo.Config]
	servers *table[topo.Server]
	daemons *table[topo.Daemon]
	feeds   []*feed.Service
	paths   []*path
	links   []*stand.Link

	interval time.Duration
	stale    time.Duration
}

func newZone(t *testing.T, count int) *zone {
	t.Helper()
	return newZoneOf(t, count, interval, stale)
}

// newZoneOf returns a zone whose readers read the store after each interval.
func newZoneOf(t *testing.T, count int, interval, stale time.Duration) *zone {
	t.Helper()
	z := &zone{
		configs: newTable[*topo.Config](), servers: newTable[topo.Server](), daemons: newTable[topo.Daemon](),
		interval: interval, stale: stale,
	}
	z.configs.put("config", &topo.Config{Version: 1})
	z.servers.put("i-1", topo.Server{ID: "i-1", Service: "souk", Slots: 3})
	z.servers.put("i-2", topo.Server{ID: "i-2", Service: "souk", Slots: 3})
	for i := range count {
		z.start(t, i)
	}
	for i := range z.feeds {
		z.waitFor(t, i, "servers", func(view *feed.View) bool { return view.Ready() && len(view.Servers) == 2 })
	}
	return z
}

func (z *zone) start(t *testing.T, i int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	near, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	way := &path{}
	link := stand.NewLink(netip.MustParseAddrPort(listener.Addr().String()))
	meter := &wire.Meter{}
	peers := wire.NewPeers(meter)
	self := topo.Daemon{
		Name: fmt.Sprintf("front-%d", i), Zone: "medina", Capacity: 1,
		Address: netip.MustParseAddrPort(near.Addr().String()),
	}
	service := feed.New(self, feed.Sources{
		Configs: &poller[*topo.Config]{table: z.configs, path: way},
		Servers: &poller[topo.Server]{table: z.servers, path: way},
		Daemons: &registry{poller[topo.Daemon]{table: z.daemons, path: way}},
	}, peers, feed.Settings{Interval: z.interval, StaleAfter: z.stale, Seed: uint64(i)}, logs.Discard().Part(feed.Name))
	server := wire.NewServer(meter)
	server.Add(service.Receivers)
	ctx, cancel := context.WithCancel(context.Background())
	ends := []<-chan error{
		kernel.Run(ctx, func(ctx context.Context) error { return server.Serve(ctx, listener) }),
		kernel.Run(ctx, peers.Run),
		kernel.Run(ctx, func(ctx context.Context) error { return link.Serve(ctx, near) }),
	}
	end, err := service.Start(ctx, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		for _, end := range append(ends, end) {
			if err := <-end; err != nil && !errors.Is(err, context.Canceled) {
				t.Error(err)
			}
		}
	})
	z.feeds = append(z.feeds, service)
	z.paths = append(z.paths, way)
	z.links = append(z.links, link)
}

func (z *zone) waitFor(t *testing.T, i int, what string, reached func(view *feed.View) bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(interval / 4) {
		if reached(z.feeds[i].View()) {
			return
		}
	}
	t.Fatalf("front-%d: %s not reached; servers %v", i, what, z.feeds[i].View().Servers)
}

// cutStore takes the store away from all daemons for a while.
func (z *zone) cutStore(period time.Duration) {
	if period == 0 {
		return
	}
	for _, way := range z.paths {
		way.set(true)
	}
	time.Sleep(period)
	for _, way := range z.paths {
		way.set(false)
	}
}

// oldest returns the highest age of a view within a period.
func (z *zone) oldest(period time.Duration) time.Duration {
	oldest := time.Duration(0)
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(interval / 4) {
		for _, f := range z.feeds {
			oldest = max(oldest, time.Since(f.View().FreshAt))
		}
	}
	return oldest
}

// roles returns which of two daemons reads the store and which one follows it.
func (z *zone) roles() (reader, follower int) {
	if z.source(1) == z.feeds[1].Self().Name {
		return 1, 0
	}
	return 0, 1
}

// source returns the name of the daemon that daemon i takes its view from.
func (z *zone) source(i int) string { return z.feeds[i].Dump(time.Now()).(feed.State).Source }

func without(id string) func(view *feed.View) bool {
	return func(view *feed.View) bool {
		_, known := view.Servers[id]
		return !known
	}
}

// TestFollow changes servers and configuration: all daemons have it, and few of
// them read the store.
func TestFollow(t *testing.T) {
	t.Parallel()
	z := newZone(t, 12)
	z.servers.remove("i-1")
	z.configs.put("config", &topo.Config{Version: 2})
	for i := range z.feeds {
		z.waitFor(t, i, "removal", without("i-1"))
		z.waitFor(t, i, "version 2", func(view *feed.View) bool { return view.Table.Config.Version == 2 })
	}
	z.configs.put("config", &topo.Config{Version: 1})
	time.Sleep(10 * interval)
	for i, f := range z.feeds {
		if version := f.View().Table.Config.Version; version != 2 {
			t.Errorf("front-%d went back to version %d", i, version)
		}
	}
}

// TestCutReaders cuts two thirds of the daemons from the store while a server
// leaves: all learn of it from the others, and none has the server back after
// the cut.
func TestCutReaders(t *testing.T) {
	t.Parallel()
	z := newZone(t, 9)
	for i := range 6 {
		z.paths[i].set(true)
	}
	time.Sleep(2 * stale)
	z.servers.remove("i-1")
	for i := range z.feeds {
		z.waitFor(t, i, "removal", without("i-1"))
	}
	for _, way := range z.paths {
		way.set(false)
	}
	for end := time.Now().Add(4 * stale); time.Now().Before(end); time.Sleep(interval / 2) {
		for i, f := range z.feeds {
			if !without("i-1")(f.View()) {
				t.Fatalf("front-%d has a server back that left", i)
			}
		}
	}
}

// TestLapse takes the store away from all while a server's entry lapses: the
// server stays in use after the return until its entry had time to come back.
func TestLapse(t *testing.T) {
	t.Parallel()
	z := newZone(t, 3)
	for _, way := range z.paths {
		way.set(true)
	}
	time.Sleep(3 * stale)
	z.servers.remove("i-1")
	for _, way := range z.paths {
		way.set(false)
	}
	back := time.Now()
	for i := range z.feeds {
		z.waitFor(t, i, "removal", without("i-1"))
	}
	if held := time.Since(back); held < time.Second {
		t.Errorf("the server was given up %s after the store's return", held)
	}
}

// TestSilentSources silences all connections between daemons, new ones too: each
// daemon finds its sources lost one after another, and still no view grows older
// than a leaving server allows. That holds also some time after an outage of the
// store.
func TestSilentSources(t *testing.T) {
	t.Parallel()
	const drainDue = 2 * time.Second
	for _, test := range []struct {
		name   string
		outage time.Duration
	}{
		{name: "calm before"},
		{name: "outage before", outage: 2 * drainDue},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			z := newZoneOf(t, 12, drainDue/4, drainDue/2)
			z.cutStore(test.outage)
			for i := range z.feeds {
				z.waitFor(t, i, "fresh view", func(view *feed.View) bool { return time.Since(view.FreshAt) < drainDue/2 })
			}
			time.Sleep(2 * drainDue)
			for _, link := range z.links {
				link.Faults.Set(stand.LinkFaults{DropForward: true, DropBackward: true})
			}
			if oldest := z.oldest(2 * drainDue); oldest > drainDue {
				t.Errorf("a view grew %s old, bound %s", oldest, drainDue)
			}
		})
	}
}

// TestPastOutage turns one daemon away from the store for a while, during which
// it follows another. Long after, its source is turned away and a server's entry
// is removed: the daemon takes the removal from the store at once, for the store was
// seen to work since.
func TestPastOutage(t *testing.T) {
	t.Parallel()
	const drainDue = 2 * time.Second
	z := newZoneOf(t, 2, drainDue/4, drainDue/2)
	reader, follower := z.roles()
	z.paths[follower].set(true)
	z.links[reader].Faults.Set(stand.LinkFaults{DropForward: true, DropBackward: true})
	time.Sleep(drainDue)
	z.links[reader].Faults.Set(stand.LinkFaults{})
	z.waitFor(t, follower, "fresh view", func(view *feed.View) bool { return time.Since(view.FreshAt) < drainDue/2 })
	z.paths[follower].set(false)
	time.Sleep(drainDue / 2)
	z.paths[reader].set(true)
	z.servers.remove("i-1")
	left := time.Now()
	z.waitFor(t, follower, "removal", without("i-1"))
	if took := time.Since(left); took > drainDue {
		t.Errorf("the follower used a server for %s after its entry was removed, bound %s", took, drainDue)
	}
}

// TestUnfit asks a daemon for its view: it is no source for the one that it takes
// its view from, nor for any while it stops.
func TestUnfit(t *testing.T) {
	t.Parallel()
	z := newZone(t, 2)
	reader, follower := z.roles()
	peers := wire.NewPeers(&wire.Meter{})
	unfit := func(name string) bool {
		address := z.feeds[follower].Self().Address
		reply, err := wire.Call[feed.FollowRequest, feed.FollowReply](t.Context(), peers, address, "Feed.Follow", feed.FollowRequest{Name: name})
		if err != nil {
			t.Fatal(err)
		}
		return reply.Unfit
	}
	z.waitFor(t, follower, "path through the reader", func(*feed.View) bool { return unfit(z.feeds[reader].Self().Name) })
	if unfit("front-9") {
		t.Error("the follower is no source for a third daemon")
	}
	if err := z.feeds[follower].Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !unfit("front-9") {
		t.Error("a daemon that stops is a source")
	}
}

// TestNewDaemon starts a daemon that the store turns away and whose seed does not
// answer at first: it follows the others, whom it knows from its seed.
func TestNewDaemon(t *testing.T) {
	t.Parallel()
	z := newZone(t, 3)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	way := &path{cut: true}
	peers := wire.NewPeers(&wire.Meter{})
	z.links[1].Faults.Set(stand.LinkFaults{DropBackward: true})
	service := feed.New(topo.Daemon{Name: "front-9", Zone: "medina", Address: netip.MustParseAddrPort(listener.Addr().String())},
		feed.Sources{
			Configs: &poller[*topo.Config]{table: z.configs, path: way},
			Servers: &poller[topo.Server]{table: z.servers, path: way},
			Daemons: &registry{poller[topo.Daemon]{table: z.daemons, path: way}},
		}, peers, feed.Settings{
			Interval: interval, StaleAfter: stale, Seeds: []netip.AddrPort{z.feeds[1].Self().Address},
		}, logs.Discard().Part(feed.Name))
	ctx, cancel := context.WithCancel(context.Background())
	beats := kernel.Run(ctx, peers.Run)
	end, err := service.Start(ctx, nil)
	if err != nil {
		t.Fatal(err)
	}
	z.feeds = append(z.feeds, service)
	time.Sleep(2 * time.Second)
	z.links[1].Faults.Set(stand.LinkFaults{})
	z.waitFor(t, 3, "servers", func(view *feed.View) bool { return view.Ready() && len(view.Servers) == 2 })
	cancel()
	if err := errors.Join(<-end, <-beats); err != nil {
		t.Error(err)
	}
}
