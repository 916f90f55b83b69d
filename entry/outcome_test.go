package entry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"dandeliondoor/decl"
	"dandeliondoor/demo"
	"dandeliondoor/proto"
)

const zone = "fes-medina"

// rig is one daemon before upstreams that break.
type rig struct {
	fleet  *demo.Fleet
	caller *demo.Caller
}

func newRig(t *testing.T, upstreams ...*faultyUpstream) *rig {
	t.Helper()
	ctx := context.Background()
	fleet, err := demo.NewFleet(ctx, demo.Options{Daemons: 1, Zones: []string{zone}})
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{fleet: fleet, caller: demo.NewCaller()}
	t.Cleanup(func() {
		r.caller.Close()
		if err := fleet.Stop(); err != nil {
			t.Error(err)
		}
	})
	d := decl.NewDeployment("rig")
	service := d.Service("souk-catalogue").
		Route("lots", "souk.example", "/lots", decl.Repeatable(), decl.Deadline(5*time.Second)).
		Route("bales", "souk.example", "/bales", decl.Deadline(5*time.Second))
	for i, u := range upstreams {
		service.Upstream("souk-0"+string(rune('1'+i)), zone, u.address.String(), 3, 400)
	}
	deployment, err := d.Build()
	if err != nil {
		t.Fatal(err)
	}
	if err := fleet.Publish(ctx, deployment); err != nil {
		t.Fatal(err)
	}
	return r
}

func (r *rig) call(method, path, body string, headers http.Header) demo.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return r.caller.Call(ctx, r.fleet.Daemons[0], demo.Request{
		Method: method, Host: "souk.example", Path: path, Body: body, Headers: headers,
	})
}

// outcomeCase states what a caller is told when the only upstream breaks.
type outcomeCase struct {
	mode    mode
	status  int
	outcome proto.Outcome
	ran     int
	cut     bool
}

var outcomeCases = []outcomeCase{
	{mode: modeAfterRequest, status: http.StatusBadGateway, outcome: proto.OutcomeUnknown, ran: 1},
	{mode: modeClosedAtOnce, status: http.StatusBadGateway, outcome: proto.OutcomeUnknown},
	{mode: modeGood, status: http.StatusOK, ran: 1},
	{mode: modeLate, status: http.StatusGatewayTimeout, outcome: proto.OutcomeUnknown, ran: 1},
	{mode: modeRefused, status: http.StatusServiceUnavailable, outcome: proto.OutcomeNotRun},
	{mode: modeServerError, status: http.StatusInternalServerError, ran: 1},
	{mode: modeShed, status: http.StatusServiceUnavailable, outcome: proto.OutcomeNotRun},
	{mode: modeShortLength, ran: 1, cut: true},
	{mode: modeUnendedChunks, ran: 1, cut: true},
	{mode: modeWithinHead, status: http.StatusBadGateway, outcome: proto.OutcomeUnknown, ran: 1},
	{mode: modeWithinRequest, status: http.StatusBadGateway, outcome: proto.OutcomeUnknown},
}

// TestOutcomeUnrepeatable breaks the connection at each point under a request
// that may run at most once.
func TestOutcomeUnrepeatable(t *testing.T) {
	t.Parallel()
	for _, test := range outcomeCases {
		t.Run(string(test.mode), func(t *testing.T) {
			t.Parallel()
			u := newFaultyUpstream(t, test.mode)
			r := newRig(t, u)
			headers := http.Header{proto.HeaderDeadline: {"400"}}
			answer := r.call(http.MethodPost, "/bales", "lot=12", headers)
			if test.cut {
				if answer.Err == nil {
					t.Fatalf("a cut answer came as complete: %+v", answer)
				}
				return
			}
			if answer.Err != nil || answer.Status != test.status || answer.Outcome != test.outcome {
				t.Fatalf("got %d %q %v, want %d %q", answer.Status, answer.Outcome, answer.Err, test.status, test.outcome)
			}
			if ran := u.ran(answer.ID); ran != test.ran {
				t.Fatalf("ran %d times, want %d", ran, test.ran)
			}
		})
	}
}

// TestOutcomeRepeatable has a good upstream beside the one that breaks: the
// caller gets a complete answer unless the answer itself was cut.
func TestOutcomeRepeatable(t *testing.T) {
	t.Parallel()
	for _, test := range outcomeCases {
		t.Run(string(test.mode), func(t *testing.T) {
			t.Parallel()
			faulty, good := newFaultyUpstream(t, test.mode), newFaultyUpstream(t, modeGood)
			r := newRig(t, faulty, good)
			for range 4 {
				answer := r.call(http.MethodGet, "/lots", "", nil)
				switch {
				case test.cut && answer.Err != nil:
				case test.mode == modeLate && answer.Body == "late":
				case answer.Err != nil || answer.Body != "complete":
					t.Fatalf("got %d %q %v", answer.Status, answer.Body, answer.Err)
				}
			}
		})
	}
}

// TestKeptConnection lets a kept connection die at the moment of its second
// use, which net/http's transport would answer by sending the request again.
func TestKeptConnection(t *testing.T) {
	t.Parallel()
	u := newFaultyUpstream(t, modeKeptConnection)
	r := newRig(t, u)
	headers := http.Header{proto.HeaderUnrepeatable: {"true"}, "Idempotency-Key": {"12"}}
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
		if first := r.call(method, "/lots", "", headers); first.Status != http.StatusOK {
			t.Fatalf("%s: first use got %+v", method, first)
		}
		second := r.call(method, "/lots", "", headers)
		if second.Outcome != proto.OutcomeUnknown {
			t.Errorf("%s: second use got %d %q", method, second.Status, second.Outcome)
		}
		if ran := u.ran(second.ID); ran != 1 {
			t.Errorf("%s: ran %d times", method, ran)
		}
	}
}

// TestForeignAnswer gives up one request while its answer is under way, and
// checks that no later request gets it.
func TestForeignAnswer(t *testing.T) {
	t.Parallel()
	u := newFaultyUpstream(t, modeLate)
	r := newRig(t, u)
	headers := http.Header{proto.HeaderDeadline: {"100"}}
	for range 5 {
		answer := r.call(http.MethodGet, "/lots", "", headers)
		if answer.Body == "late" || answer.Outcome != proto.OutcomeUnknown {
			t.Fatalf("got %d %q", answer.Status, answer.Body)
		}
	}
}
