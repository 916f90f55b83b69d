package broker_test

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"dandeliondoor/broker"
	"dandeliondoor/check"
	"dandeliondoor/crash"
	"dandeliondoor/health"
	"dandeliondoor/model"
)

// trace is a sequence of events for one pool. Requests that succeed on one of the
// Failing upstreams are reported as failed.
type trace struct {
	About        string       `yaml:"about"`
	Upstreams    int          `yaml:"upstreams"`
	Slots        int          `yaml:"slots"`
	FloorPercent int          `yaml:"floor_percent"`
	Failing      []string     `yaml:"sick"`
	Events       []traceEvent `yaml:"events"`
}

// traceEvent is one event of a trace. Request is the number of the request that it
// concerns; Times repeats the event with consecutive numbers.
type traceEvent struct {
	At           time.Duration `yaml:"at"`
	Event        string        `yaml:"event"`
	Request      uint64        `yaml:"request"`
	Times        int           `yaml:"times"`
	Entry        string        `yaml:"entry"`
	Account      string        `yaml:"account"`
	Limit        int           `yaml:"limit"`
	Class        model.Class   `yaml:"class"`
	Budget       time.Duration `yaml:"budget"`
	Fingerprint  uint64        `yaml:"fingerprint"`
	Unrepeatable bool          `yaml:"unrepeatable"`
	Avoid        []string      `yaml:"avoid"`
	Session      uint64        `yaml:"session"`
	Outcome      string        `yaml:"outcome"`
	Latency      time.Duration `yaml:"latency"`
	Draining     bool          `yaml:"draining"`
	Load         *float64      `yaml:"load"`
	Upstream     string        `yaml:"upstream"`
}

// replayer applies a trace to a pool and logs the decisions.
type replayer struct {
	strings.Builder
	pool       *broker.Pool
	failing    []string
	upstreamOf map[uint64]string
}

func outcomeByName(name string) health.Outcome {
	for outcome := health.Success; outcome <= health.Cancelled; outcome++ {
		if outcome.String() == name {
			return outcome
		}
	}
	return health.Success
}

func newReplayer(tr trace) *replayer {
	pool := model.Pool{Key: "souk/medina/0", Service: "souk", Zone: "medina"}
	for i := range tr.Upstreams {
		pool.Upstreams = append(pool.Upstreams, model.Upstream{
			Name: fmt.Sprintf("souk-%d", i+1), Slots: tr.Slots, Connections: 400, Zone: "medina",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80),
		})
	}
	r := &replayer{pool: broker.NewPool(epoch, pool.Key, 7, broker.WithoutSlowStart()), failing: tr.Failing, upstreamOf: make(map[uint64]string)}
	r.pool.Configure(epoch, broker.Configuration{Pool: pool, FloorPercent: tr.FloorPercent, Entries: 3})
	return r
}

func (r *replayer) play(e traceEvent) {
	now := epoch.Add(e.At)
	id := broker.GrantID{Entry: e.Entry, Seq: e.Request}
	var actions []broker.Action
	switch e.Event {
	case "ask":
		budget := e.Budget
		if budget == 0 {
			budget = 2 * time.Second
		}
		actions = r.pool.Ask(now, broker.Ask{
			ID: id, Route: e.Class.String(), Class: e.Class, Account: e.Account, Limit: e.Limit, Budget: budget,
			Repeatable: !e.Unrepeatable, Avoid: e.Avoid, Fingerprint: crash.Fingerprint(e.Fingerprint), Session: e.Session,
		})
	case "cancel":
		actions = r.pool.Cancel(now, id)
	case "hold":
		r.pool.RegisterHold(now, broker.Hold{ID: id, Upstream: e.Upstream, Class: e.Class, Budget: e.Budget, Session: e.Session})
	case "leaving":
		actions = r.pool.SetLeaving(now, e.Upstream, true)
	case "release":
		if e.Outcome == health.Success.String() && slices.Contains(r.failing, r.upstreamOf[e.Request]) {
			e.Outcome = health.Failed.String()
		}
		load := -1.0
		if e.Load != nil {
			load = *e.Load
		}
		actions = r.pool.Release(now, broker.Release{
			ID: id, Outcome: outcomeByName(e.Outcome), Latency: e.Latency, Duration: e.Latency, Load: load, Draining: e.Draining,
		})
	case "session_ended":
		actions = r.pool.RemoveSessionAsks(now, e.Session)
	case "session_gone":
		actions = r.pool.ReleaseSessionGrants(now, e.Session)
	case "tick":
		actions = r.pool.Tick(now)
	default:
		fmt.Fprintf(r, "unknown event %s\n", e.Event)
	}
	r.write(e, actions)
}

func (r *replayer) write(e traceEvent, actions []broker.Action) {
	fmt.Fprintf(r, "%8s %s", e.At, e.Event)
	if e.Request > 0 {
		fmt.Fprintf(r, " %d", e.Request)
	}
	if e.Outcome != "" {
		fmt.Fprintf(r, " %s", e.Outcome)
	}
	r.WriteString("\n")
	for _, action := range actions {
		switch action := action.(type) {
		case broker.Granted:
			r.upstreamOf[action.ID.Seq] = action.Upstream
			fmt.Fprintf(r, "             grant %d on %s\n", action.ID.Seq, action.Upstream)
		case broker.Refused:
			fmt.Fprintf(r, "             refuse %d: %s\n", action.ID.Seq, action.Reason)
		case broker.Redirected:
			fmt.Fprintf(r, "             redirect %d to %s\n", action.ID.Seq, action.Pool)
		case broker.FingerprintReported:
			fmt.Fprintf(r, "             fingerprint %d is %s\n", action.Fingerprint, [...]string{"clear", "suspect", "confirmed"}[action.Standing])
		case broker.HealthReported:
			fmt.Fprintf(r, "             %s\n", verdictText(action.Verdict))
		}
	}
}

func verdictText(verdict health.Verdict) string {
	switch verdict := verdict.(type) {
	case health.Ejected:
		return fmt.Sprintf("eject %s for %s until %s", verdict.Upstream, verdict.Cause, verdict.Until.Sub(epoch))
	case health.FloorReached:
		return fmt.Sprintf("keep %s in spite of %s", verdict.Upstream, verdict.Cause)
	case health.PathCut:
		return fmt.Sprintf("path from %s to %s is cut", verdict.Reporter, verdict.Upstream)
	case health.Readmitted:
		return fmt.Sprintf("readmit %s for %s", verdict.Upstream, verdict.Reason)
	default:
		return "unknown verdict"
	}
}

// TestReplay replays each trace and compares the decisions with the golden file.
func TestReplay(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("testdata/*.trace.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal("no traces found in testdata:", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".trace.yaml")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			decoded, findings := check.Decode[trace](file, data)
			if len(findings) > 0 {
				t.Fatal(findings)
			}
			r := newReplayer(decoded.Value)
			for _, e := range decoded.Value.Events {
				first := e.Request
				for i := range max(e.Times, 1) {
					e.Request = first + uint64(i)
					r.play(e)
				}
			}
			goldie.New(t).Assert(t, name, []byte(r.String()))
		})
	}
}
