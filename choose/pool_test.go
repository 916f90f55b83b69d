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

var limits = choose.RetryLimits{Ratio: 0.2, Window: 10 * time.Second, Slack: 20}

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

// fill asks until nothing more is given and returns what each server got.
func (r *rig) fill(exclude []string) map[string]int {
	const enough = 100
	given := make(map[string]int)
	for range enough {
		granted, isGranted := r.ask(func(ask *choose.Ask) { ask.Exclude = exclude }).(choose.Granted)
		if !isGranted {
			break
		}
		given[granted.Server]++
	}
	return given
}

// only sends a request to one server of some and ends it with an outcome.
func (r *rig) only(server, count int, outcome choose.Outcome) {
	var others []string
	for i := range count {
		if i != server {
			others = append(others, fmt.Sprintf("i-%02d", i))
		}
	}
	granted := r.ask(func(ask *choose.Ask) { ask.Exclude = others }).(choose.Granted)
	r.now = r.now.Add(100 * time.Millisecond)
	r.pool.Release(r.now, choose.Release{
		Daemon: "front-1", Ticket: r.ticket, Server: granted.Server, Outcome: outcome,
		Duration: 100 * time.Millisecond, Running: -1,
	})
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

// TestDraining lets a server drain: it gets nothing more, however full the others
// are.
func TestDraining(t *testing.T) {
	t.Parallel()
	r := newRig(3)
	list := servers(3)
	list[1].Draining = true
	r.pool.SetServers(r.now, list)
	given := r.fill(nil)
	if given["i-01"] > 0 || given["i-00"] == 0 || given["i-02"] == 0 {
		t.Errorf("given %v; i-01 drains", given)
	}
}

// TestExcluded names servers that must not get a request.
func TestExcluded(t *testing.T) {
	t.Parallel()
	r := newRig(3)
	given := r.fill([]string{"i-00", "i-02"})
	if len(given) != 1 || given["i-01"] == 0 {
		t.Errorf("given %v; only i-01 may be", given)
	}
}

// TestFull fills a server: what is beyond its queue is refused, with a time after
// which a slot may be free.
func TestFull(t *testing.T) {
	t.Parallel()
	r := newRig(1)
	if given := r.fill(nil)["i-00"]; given != 9 {
		t.Errorf("a server with 3 slots got %d requests at once, want 9", given)
	}
	refused, isRefused := r.ask(nil).(choose.Refused)
	if !isRefused || refused.Reason != choose.ReasonOverload || refused.RetryAfter <= 0 {
		t.Errorf("got %+v", refused)
	}
}

// TestLostReports forgets attempts whose end is never reported, some time after
// their deadline.
func TestLostReports(t *testing.T) {
	t.Parallel()
	r := newRig(1)
	r.fill(nil)
	r.now = r.now.Add(3 * time.Second)
	if _, isGranted := r.ask(nil).(choose.Granted); !isGranted {
		t.Error("attempts that are long over still hold their slots")
	}
}

// TestOverdue lets a server hold requests for far longer than they take: others
// are preferred before the caller's deadline shows a failure.
func TestOverdue(t *testing.T) {
	t.Parallel()
	r := newRig(2)
	held := r.ask(nil).(choose.Granted).Server
	r.now = r.now.Add(time.Second)
	for range 5 {
		if got := r.run(func(string) choose.Outcome { return choose.Served }); got == held {
			t.Fatal("a server that holds a request got another one")
		}
	}
}

// TestShedPause leaves a server alone for a while that refused a request though
// it had less to do than others.
func TestShedPause(t *testing.T) {
	t.Parallel()
	r := newRig(2)
	for range 5 {
		r.ask(func(ask *choose.Ask) { ask.Exclude = []string{"i-00"} })
	}
	for range 4 {
		r.ask(func(ask *choose.Ask) { ask.Exclude = []string{"i-01"} })
	}
	r.pool.Release(r.now, choose.Release{Daemon: "front-1", Ticket: r.ticket, Server: "i-00", Outcome: choose.Shed, Running: -1})
	if got := r.ask(nil).(choose.Granted).Server; got != "i-01" {
		t.Errorf("%s got a request right after it refused one", got)
	}
}

// TestProbe lets a server fail once: only a request that can be repeated finds
// out some seconds later whether it is sound again.
func TestProbe(t *testing.T) {
	t.Parallel()
	const count = 10
	r := newRig(count)
	r.only(0, count, choose.Failed)
	for range 3 {
		for i := 1; i < count; i++ {
			r.only(i, count, choose.Served)
		}
	}
	if got := r.ask(nil).(choose.Granted).Server; got == "i-00" {
		t.Error("a request that may run once went to a server that failed")
	}
	got := r.ask(func(ask *choose.Ask) { ask.Probe = true }).(choose.Granted).Server
	if got != "i-00" {
		t.Errorf("a request that can be repeated went to %s, want i-00", got)
	}
}

// TestRestarted starts a server again under its ID: what the old one held does
// not count.
func TestRestarted(t *testing.T) {
	t.Parallel()
	r := newRig(1)
	r.fill(nil)
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

// TestGivenBack asks for second sends that find no server: they do not use the
// budget up.
func TestGivenBack(t *testing.T) {
	t.Parallel()
	r := newRig(2)
	for range 100 {
		r.ask(func(ask *choose.Ask) { ask.Repeat, ask.Exclude = true, []string{"i-00", "i-01"} })
	}
	if _, isGranted := r.ask(func(ask *choose.Ask) { ask.Repeat = true }).(choose.Granted); !isGranted {
		t.Error("the budget is used up by second sends that were not made")
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
			Daemon: "front-1", Ticket: r.ticket, Server: granted.Server, Outcome: choose.ConnectionLost, Running: -1,
		})
	}
	if sent != 3 {
		t.Errorf("sent %d times, want 3", sent)
	}
	if _, isGranted := r.ask(func(ask *choose.Ask) { ask.Content = harmless }).(choose.Granted); !isGranted {
		t.Error("another content is refused")
	}
}

// held is a request that a server has.
type held struct {
	ticket uint64
	server string
	probe  bool
}

// TestSilentServer lets one server lose a quarter of its answers under load. Work
// that can be repeated shows again and again that it answers; of what may run
// once, at most one request in 200 is lost.
func TestSilentServer(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		servers int
		atOnce  int
	}{
		{name: "eight servers", servers: 8, atOnce: 16},
		{name: "four servers", servers: 4, atOnce: 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			const asks, shareLost = 6000, 200
			r := newRig(test.servers)
			var open []held
			answers, lost, onceOnly := 0, 0, 0
			for i := range asks {
				probe := i%3 == 0
				if granted, isGranted := r.ask(func(ask *choose.Ask) { ask.Probe = probe }).(choose.Granted); isGranted {
					open = append(open, held{ticket: r.ticket, server: granted.Server, probe: probe})
				}
				r.now = r.now.Add(100 * time.Millisecond / time.Duration(test.atOnce))
				if len(open) < test.atOnce {
					continue
				}
				ended := open[0]
				open = open[1:]
				outcome := choose.Served
				if ended.server == "i-00" {
					answers++
				}
				if ended.server == "i-00" && answers%4 == 0 {
					outcome = choose.ConnectionLost
				}
				if !ended.probe {
					onceOnly++
				}
				if !ended.probe && outcome == choose.ConnectionLost {
					lost++
				}
				r.pool.Release(r.now, choose.Release{
					Daemon: "front-1", Ticket: ended.ticket, Server: ended.server, Outcome: outcome,
					Duration: 100 * time.Millisecond, Running: -1,
				})
			}
			if lost > onceOnly/shareLost {
				t.Errorf("%d of %d requests that may run once were lost", lost, onceOnly)
			}
		})
	}
}
