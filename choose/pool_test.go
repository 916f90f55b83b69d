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

// epoch is the simulated time at which each test starts.
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

// poolFixture sends asks to a pool under a simulated clock.
type poolFixture struct {
	pool   *choose.Pool
	now    time.Time
	ticket uint64
}

func newFixture(count int) *poolFixture {
	f := &poolFixture{pool: choose.NewPool(epoch, 1, limits), now: epoch}
	f.pool.SetServers(epoch, servers(count))
	return f
}

func (f *poolFixture) ask(change func(ask *choose.Ask)) choose.Decision {
	f.ticket++
	ask := choose.Ask{
		Daemon: "front-1", Ticket: f.ticket, Route: "bales", Zone: "medina",
		Objective: 800 * time.Millisecond, Left: 2 * time.Second,
	}
	if change != nil {
		change(&ask)
	}
	return f.pool.Choose(f.now, ask)
}

// run asks for a server, releases the attempt with an outcome after 100 ms, and
// returns the server.
func (f *poolFixture) run(outcome func(server string) choose.Outcome) string {
	granted, isGranted := f.ask(nil).(choose.Granted)
	if !isGranted {
		return ""
	}
	f.now = f.now.Add(100 * time.Millisecond)
	f.pool.Release(f.now, choose.Release{
		Daemon: "front-1", Ticket: f.ticket, Server: granted.Server, Outcome: outcome(granted.Server),
		Duration: 100 * time.Millisecond, Running: -1,
	})
	return granted.Server
}

// fill asks until the pool refuses and returns the number of attempts per server.
func (f *poolFixture) fill(exclude []string) map[string]int {
	const maxAsks = 100
	given := make(map[string]int)
	for range maxAsks {
		granted, isGranted := f.ask(func(ask *choose.Ask) { ask.Exclude = exclude }).(choose.Granted)
		if !isGranted {
			break
		}
		given[granted.Server]++
	}
	return given
}

// sendTo sends a request to one of count servers and releases it with an outcome.
func (f *poolFixture) sendTo(server, count int, outcome choose.Outcome) {
	var others []string
	for i := range count {
		if i != server {
			others = append(others, fmt.Sprintf("i-%02d", i))
		}
	}
	granted := f.ask(func(ask *choose.Ask) { ask.Exclude = others }).(choose.Granted)
	f.now = f.now.Add(100 * time.Millisecond)
	f.pool.Release(f.now, choose.Release{
		Daemon: "front-1", Ticket: f.ticket, Server: granted.Server, Outcome: outcome,
		Duration: 100 * time.Millisecond, Running: -1,
	})
}

// TestFailingServer checks that one of four servers gets no more requests for
// some seconds after its first failure.
func TestFailingServer(t *testing.T) {
	t.Parallel()
	f := newFixture(4)
	failures := 0
	for range 30 {
		f.run(func(server string) choose.Outcome {
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

// TestDraining checks that a draining server gets no requests, even when all
// other servers are full.
func TestDraining(t *testing.T) {
	t.Parallel()
	f := newFixture(3)
	list := servers(3)
	list[1].Draining = true
	f.pool.SetServers(f.now, list)
	given := f.fill(nil)
	if given["i-01"] > 0 || given["i-00"] == 0 || given["i-02"] == 0 {
		t.Errorf("got %v; want requests on i-00 and i-02 only, since i-01 is draining", given)
	}
}

// TestExclude checks that excluded servers get no requests.
func TestExclude(t *testing.T) {
	t.Parallel()
	f := newFixture(3)
	given := f.fill([]string{"i-00", "i-02"})
	if len(given) != 1 || given["i-01"] == 0 {
		t.Errorf("got %v; want requests on i-01 only", given)
	}
}

// TestFullServer checks that requests beyond a server's queue are refused with
// the time after which a slot may be free.
func TestFullServer(t *testing.T) {
	t.Parallel()
	f := newFixture(1)
	if given := f.fill(nil)["i-00"]; given != 9 {
		t.Errorf("a server with 3 slots got %d requests at once, want 9", given)
	}
	refused, isRefused := f.ask(nil).(choose.Refused)
	if !isRefused || refused.Reason != choose.ReasonOverload || refused.RetryAfter <= 0 {
		t.Errorf("got %+v", refused)
	}
}

// TestLostReleases checks that attempts without a release expire some time after
// their deadline and free their slots.
func TestLostReleases(t *testing.T) {
	t.Parallel()
	f := newFixture(1)
	f.fill(nil)
	f.now = f.now.Add(3 * time.Second)
	if _, isGranted := f.ask(nil).(choose.Granted); !isGranted {
		t.Error("expired attempts still hold their slots")
	}
}

// TestOverdue checks that a server with an overdue request gets no other one,
// even before the request's deadline passes.
func TestOverdue(t *testing.T) {
	t.Parallel()
	f := newFixture(2)
	holder := f.ask(nil).(choose.Granted).Server
	f.now = f.now.Add(time.Second)
	for range 5 {
		if got := f.run(func(string) choose.Outcome { return choose.Served }); got == holder {
			t.Fatal("a server with an overdue request got another one")
		}
	}
}

// TestShedPause checks that a server that shed a request is avoided for a while,
// even if it is less loaded than the others.
func TestShedPause(t *testing.T) {
	t.Parallel()
	f := newFixture(2)
	for range 5 {
		f.ask(func(ask *choose.Ask) { ask.Exclude = []string{"i-00"} })
	}
	for range 4 {
		f.ask(func(ask *choose.Ask) { ask.Exclude = []string{"i-01"} })
	}
	f.pool.Release(f.now, choose.Release{Daemon: "front-1", Ticket: f.ticket, Server: "i-00", Outcome: choose.Shed, Running: -1})
	if got := f.ask(nil).(choose.Granted).Server; got != "i-01" {
		t.Errorf("%s got a request right after it shed one", got)
	}
}

// TestProbe checks that after a failure only requests that can be retried probe
// whether the server is healthy again.
func TestProbe(t *testing.T) {
	t.Parallel()
	const count = 10
	f := newFixture(count)
	f.sendTo(0, count, choose.Failed)
	for range 3 {
		for i := 1; i < count; i++ {
			f.sendTo(i, count, choose.Served)
		}
	}
	if got := f.ask(nil).(choose.Granted).Server; got == "i-00" {
		t.Error("a request that cannot be retried went to a server that failed")
	}
	got := f.ask(func(ask *choose.Ask) { ask.Probe = true }).(choose.Granted).Server
	if got != "i-00" {
		t.Errorf("a request that can be retried went to %s, want i-00", got)
	}
}

// TestRestarted checks that the attempts of a server are discarded when it
// restarts under the same ID.
func TestRestarted(t *testing.T) {
	t.Parallel()
	f := newFixture(1)
	f.fill(nil)
	list := servers(1)
	list[0].Born = 2
	f.pool.SetServers(f.now, list)
	granted, isGranted := f.ask(nil).(choose.Granted)
	if !isGranted || granted.Born != 2 {
		t.Errorf("got %+v", granted)
	}
}

// TestActiveServers fails a fifth of all requests and checks the platform's
// floor: at least 7 of 10 servers get a request within any two seconds.
func TestActiveServers(t *testing.T) {
	t.Parallel()
	f := newFixture(10)
	last := make(map[string]time.Time)
	for i := range 600 {
		got := f.run(func(string) choose.Outcome {
			if i%5 == 0 {
				return choose.Failed
			}
			return choose.Served
		})
		last[got] = f.now
		if i < 100 {
			continue
		}
		active := 0
		for _, at := range last {
			if f.now.Sub(at) <= 2*time.Second {
				active++
			}
		}
		if active < 7 {
			t.Fatalf("after %s, only %d of 10 servers had a request within 2 s", f.now.Sub(epoch), active)
		}
	}
}

// TestBudget draws requests and retries at random times and checks the limits
// over each window that ends with a retry.
func TestBudget(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		budget := choose.NewRetryBudget(epoch, limits)
		now := epoch
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause_ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				budget.RecordRequest(now)
				requests = append(requests, now)
				continue
			}
			if !budget.TryTake(now) {
				continue
			}
			retries = append(retries, now)
			allowed := limits.Ratio*float64(within(requests, now)) + limits.Slack
			if sent := within(retries, now.Add(time.Second)); float64(sent) > allowed+1 {
				t.Fatalf("%d retries, %.1f allowed", sent, allowed)
			}
		}
	})
}

// within counts the times in the window that ends now.
func within(times []time.Time, now time.Time) int {
	count := 0
	for _, at := range times {
		if now.Sub(at) <= limits.Window {
			count++
		}
	}
	return count
}

// TestRefusalsNotInBudget checks that refused asks do not count as requests in
// the retry budget.
func TestRefusalsNotInBudget(t *testing.T) {
	t.Parallel()
	f := newFixture(1)
	for range 1000 {
		f.ask(func(ask *choose.Ask) { ask.Exclude = []string{"i-00"} })
	}
	retries := 0
	for range 200 {
		decision := f.ask(func(ask *choose.Ask) { ask.Repeat, ask.Left = true, 0 })
		if _, isGranted := decision.(choose.Granted); !isGranted {
			break
		}
		retries++
		f.now = f.now.Add(time.Millisecond)
		f.pool.Release(f.now, choose.Release{Daemon: "front-1", Ticket: f.ticket, Server: "i-00", Outcome: choose.Served, Running: -1})
	}
	if retries > int(limits.Slack) {
		t.Errorf("%d retries without a request", retries)
	}
}

// TestRefund checks that retries that find no server do not use up the budget.
func TestRefund(t *testing.T) {
	t.Parallel()
	f := newFixture(2)
	for range 100 {
		f.ask(func(ask *choose.Ask) { ask.Repeat, ask.Exclude = true, []string{"i-00", "i-01"} })
	}
	if _, isGranted := f.ask(func(ask *choose.Ask) { ask.Repeat = true }).(choose.Granted); !isGranted {
		t.Error("the budget is used up by retries that were not sent")
	}
}

// pendingAttempt is a request in flight on a server.
type pendingAttempt struct {
	ticket uint64
	server string
	probe  bool
}

// TestLostResponses lets one server lose a quarter of its responses under load. The
// successes of retryable requests make it look healthy again and again; still, at
// most one in 200 of the requests that cannot be retried may be lost.
func TestLostResponses(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		servers  int
		inFlight int
	}{
		{name: "eight servers", servers: 8, inFlight: 16},
		{name: "four servers", servers: 4, inFlight: 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			const askCount, lossDivisor = 6000, 200
			f := newFixture(test.servers)
			var open []pendingAttempt
			responses, lost, finalAttempts := 0, 0, 0
			for i := range askCount {
				probe := i%3 == 0
				if granted, isGranted := f.ask(func(ask *choose.Ask) { ask.Probe = probe }).(choose.Granted); isGranted {
					open = append(open, pendingAttempt{ticket: f.ticket, server: granted.Server, probe: probe})
				}
				f.now = f.now.Add(100 * time.Millisecond / time.Duration(test.inFlight))
				if len(open) < test.inFlight {
					continue
				}
				ended := open[0]
				open = open[1:]
				outcome := choose.Served
				if ended.server == "i-00" {
					responses++
				}
				if ended.server == "i-00" && responses%4 == 0 {
					outcome = choose.ConnectionLost
				}
				if !ended.probe {
					finalAttempts++
				}
				if !ended.probe && outcome == choose.ConnectionLost {
					lost++
				}
				f.pool.Release(f.now, choose.Release{
					Daemon: "front-1", Ticket: ended.ticket, Server: ended.server, Outcome: outcome,
					Duration: 100 * time.Millisecond, Running: -1,
				})
			}
			if lost > finalAttempts/lossDivisor {
				t.Errorf("%d of %d requests that cannot be retried were lost", lost, finalAttempts)
			}
		})
	}
}
