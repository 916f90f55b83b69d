package choose_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandeliondoor/choose"
	"dandeliondoor/topo"
)

// epoch is when each test starts.
var epoch = time.Date(2026, 8, 1, 8, 0, 0, 0, time.UTC)

var limits = choose.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 20}

func servers(count int) []topo.Server {
	list := make([]topo.Server, count)
	for i := range list {
		list[i] = topo.Server{
			ID: fmt.Sprintf("i-%02d", i), Service: "souk", Zone: "medina", Slots: 3,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		}
	}
	return list
}

// rig drives a pool with one ask after another.
type rig struct {
	pool   *choose.Pool
	now    time.Time
	ticket uint64
}

func newRig(count int) *rig {
	r := &rig{pool: choose.NewPool(epoch, 1, limits), now: epoch}
	r.pool.SetServers(epoch, servers(count))
	return r
}

func (r *rig) ask(change func(ask *choose.Ask)) choose.Decision {
	r.ticket++
	ask := choose.Ask{
		Daemon: "front-1", Ticket: r.ticket, Route: "bales", Zone: "medina",
		Objective: 800 * time.Millisecond, Left: 2 * time.Second,
	}
	if change != nil {
		change(&ask)
	}
	return r.pool.Choose(r.now, ask)
}

// run asks, ends the attempt with an outcome after a while, and returns the
// server.
func (r *rig) run(outcome func(server string) choose.Outcome) string {
	granted, isGranted := r.ask(nil).(choose.Granted)
	if !isGranted {
		return ""
	}
	r.now = r.now.Add(100 * time.Millisecond)
	r.pool.Release(r.now, choose.Release{
		Daemon: "front-1", Ticket: r.ticket, Server: granted.Server, Outcome: outcome(granted.Server),
		Duration: 100 * time.Millisecond, Running: -1,
	})
	return granted.Server
}

// TestFailingServer lets one of four servers fail: after its first failure it
// gets nothing for some seconds.
func TestFailingServer(t *testing.T) {
	t.Parallel()
	r := newRig(4)
	failures := 0
	for range 30 {
		r.run(func(server string) choose.Outcome {
			if server != "i-00" {
				return choose.Served
			}
			failures++
			return choose.Failed
		})
	}
	if failures > 1 {
		t.Errorf("the failing server got %d requests in 3 s", failures)
	}
}

// TestDraining lets a server drain: it gets nothing more.
func TestDraining(t *testing.T) {
	t.Parallel()
	r := newRig(3)
	list := servers(3)
	list[1].Draining = true
	r.pool.SetServers(r.now, list)
	for range 200 {
		if got := r.run(func(string) choose.Outcome { return choose.Served }); got == "i-01" {
			t.Fatal("a draining server got a request")
		}
	}
}

// TestRestarted starts a server again under its ID: what was known of the old
// one does not count.
func TestRestarted(t *testing.T) {
	t.Parallel()
	r := newRig(1)
	for range 5 {
		r.run(func(string) choose.Outcome { return choose.Failed })
	}
	list := servers(1)
	list[0].Born = 2
	r.pool.SetServers(r.now, list)
	granted, isGranted := r.ask(nil).(choose.Granted)
	if !isGranted || granted.Born != 2 {
		t.Errorf("got %+v", granted)
	}
}

// TestFloor fails a fifth of all requests: every server gets work within each
// two seconds but for the few that the floor does not ask for.
func TestFloor(t *testing.T) {
	t.Parallel()
	r := newRig(10)
	last := make(map[string]time.Time)
	for i := range 600 {
		got := r.run(func(string) choose.Outcome {
			if i%5 == 0 {
				return choose.Failed
			}
			return choose.Served
		})
		last[got] = r.now
		if i < 100 {
			continue
		}
		worked := 0
		for _, at := range last {
			if r.now.Sub(at) <= 2*time.Second {
				worked++
			}
		}
		if worked < 7 {
			t.Fatalf("after %s only %d of 10 servers got work within 2 s", r.now.Sub(epoch), worked)
		}
	}
}

// TestBudget draws requests and second sends at any times and counts, over each
// window that ends with a send, what the limits allow.
func TestBudget(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		budget := choose.NewBudget(epoch, limits)
		now := epoch
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause_ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				budget.Request(now)
				requests = append(requests, now)
				continue
			}
			if !budget.Take(now) {
				continue
			}
			repeats = append(repeats, now)
			allowed := limits.Ratio*float64(within(requests, now)) + limits.Slack
			if sent := within(repeats, now.Add(time.Second)); float64(sent) > allowed+1 {
				t.Fatalf("%d second sends, %.1f allowed", sent, allowed)
			}
		}
	})
}

// within counts the times of the last window.
func within(times []time.Time, now time.Time) int {
	count := 0
	for _, at := range times {
		if now.Sub(at) <= limits.Window {
			count++
		}
	}
	return count
}

// TestRefusedAsks asks without a free server: refusals do not count as requests
// for the budget.
func TestRefusedAsks(t *testing.T) {
	t.Parallel()
	r := newRig(1)
	for range 1000 {
		r.ask(func(ask *choose.Ask) { ask.Exclude = []string{"i-00"} })
	}
	repeats := 0
	for range 200 {
		decision := r.ask(func(ask *choose.Ask) { ask.Repeat, ask.Left = true, 0 })
		if _, isGranted := decision.(choose.Granted); !isGranted {
			break
		}
		repeats++
		r.now = r.now.Add(time.Millisecond)
		r.pool.Release(r.now, choose.Release{Daemon: "front-1", Ticket: r.ticket, Server: "i-00", Outcome: choose.Served, Running: -1})
	}
	if repeats > int(limits.Slack) {
		t.Errorf("%d second sends without a request", repeats)
	}
}

// TestCrashingContent loses the connection of one content again and again: it is
// refused after the third loss, and other contents are not.
func TestCrashingContent(t *testing.T) {
	t.Parallel()
	r := newRig(8)
	const poison, harmless = 7, 8
	sent := 0
	for range 10 {
		decision := r.ask(func(ask *choose.Ask) { ask.Content = poison })
		granted, isGranted := decision.(choose.Granted)
		if !isGranted {
			break
		}
		sent++
		r.now = r.now.Add(10 * time.Millisecond)
		r.pool.Release(r.now, choose.Release{
			Daemon: "front-1", Ticket: r.ticket, Server: granted.Server, Outcome: choose.Lost, Running: -1,
		})
	}
	if sent != 3 {
		t.Errorf("sent %d times, want 3", sent)
	}
	if _, isGranted := r.ask(func(ask *choose.Ask) { ask.Content = harmless }).(choose.Granted); !isGranted {
		t.Error("another content is refused")
	}
}

// TestSilentServer lets one of four servers lose three in ten answers, spread
// among others that are served: it gets a small part of the work.
func TestSilentServer(t *testing.T) {
	t.Parallel()
	r := newRig(4)
	silent, count := 0, 0
	for i := range 300 {
		got := r.run(func(server string) choose.Outcome {
			if server != "i-00" {
				return choose.Served
			}
			count++
			if count%10 == 3 || count%10 == 6 || count%10 == 9 {
				return choose.Lost
			}
			return choose.Served
		})
		if got == "i-00" && i >= 100 {
			silent++
		}
	}
	if silent > 200/8 {
		t.Errorf("the silent server got %d of 200 requests", silent)
	}
}
