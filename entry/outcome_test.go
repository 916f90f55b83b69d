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

// harness is a daemon with test upstreams.
type harness struct {
	fleet  *demo.Fleet
	caller *demo.Caller
}

func newHarness(t *testing.T, upstreams ...*testUpstream) *harness {
	t.Helper()
	ctx := context.Background()
	fleet, err := demo.NewFleet(ctx, demo.Options{Daemons: 1, Zones: []string{zone}})
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{fleet: fleet, caller: demo.NewCaller()}
	t.Cleanup(func() {
		h.caller.Close()
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
	return h
}

func (h *harness) call(method, path, body string, headers http.Header) demo.Response {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return h.caller.Call(ctx, h.fleet.Daemons[0], demo.Request{
		Method: method, Host: "souk.example", Path: path, Body: body, Headers: headers,
	})
}

// outcomeCase is the response that a caller gets when the only upstream fails, and
// how often the request ran. truncated means that the connection is aborted within
// the response.
type outcomeCase struct {
	mode      mode
	status    int
	outcome   proto.Outcome
	runs      int
	truncated bool
}

// deadline returns the deadline of a request to an upstream in this mode, in milliseconds.
// Only the response of a late one may exceed it.
func (m mode) deadline() string {
	if m == modeLate {
		return "400"
	}
	return "10000"
}

var outcomeCases = []outcomeCase{
	{mode: modeAfterRequest, status: http.StatusBadGateway, outcome: proto.OutcomeUnknown, runs: 1},
	{mode: modeBeforeRequest, status: http.StatusBadGateway, outcome: proto.OutcomeUnknown},
	{mode: modeGood, status: http.StatusOK, runs: 1},
	{mode: modeLate, status: http.StatusGatewayTimeout, outcome: proto.OutcomeUnknown, runs: 1},
	{mode: modeRefused, status: http.StatusServiceUnavailable, outcome: proto.OutcomeNotRun},
	{mode: modeServerError, status: http.StatusInternalServerError, runs: 1},
	{mode: modeShed, status: http.StatusServiceUnavailable, outcome: proto.OutcomeNotRun},
	{mode: modeShortLength, runs: 1, truncated: true},
	{mode: modeNoLastChunk, runs: 1, truncated: true},
	{mode: modeWithinHead, status: http.StatusBadGateway, outcome: proto.OutcomeUnknown, runs: 1},
	{mode: modeWithinRequest, status: http.StatusBadGateway, outcome: proto.OutcomeUnknown},
}

// TestOutcomeUnrepeatable sends a request that may run at most once to an upstream
// that fails at some point of the exchange. The caller must be told truthfully
// whether the request may have run.
func TestOutcomeUnrepeatable(t *testing.T) {
	t.Parallel()
	for _, test := range outcomeCases {
		t.Run(string(test.mode), func(t *testing.T) {
			t.Parallel()
			u := newTestUpstream(t, test.mode)
			h := newHarness(t, u)
			headers := http.Header{proto.HeaderDeadline: {test.mode.deadline()}}
			response := h.call(http.MethodPost, "/bales", "lot=12", headers)
			if test.truncated {
				if response.Err == nil {
					t.Fatalf("truncated response was reported as complete: %+v", response)
				}
				return
			}
			if response.Err != nil || response.Status != test.status || response.Outcome != test.outcome {
				t.Fatalf("got %d %q %v, want %d %q", response.Status, response.Outcome, response.Err, test.status, test.outcome)
			}
			if runs := u.runCount(response.ID); runs != test.runs {
				t.Fatalf("request ran %d times, want %d", runs, test.runs)
			}
		})
	}
}

// TestOutcomeRepeatable adds a good upstream to the one that fails. The caller must
// get a complete response, unless the failure occurs within the response body.
func TestOutcomeRepeatable(t *testing.T) {
	t.Parallel()
	for _, test := range outcomeCases {
		t.Run(string(test.mode), func(t *testing.T) {
			t.Parallel()
			failing, good := newTestUpstream(t, test.mode), newTestUpstream(t, modeGood)
			h := newHarness(t, failing, good)
			for range 4 {
				response := h.call(http.MethodGet, "/lots", "", nil)
				switch {
				case test.truncated && response.Err != nil:
				case test.mode == modeLate && response.Body == "late":
				case response.Err != nil || response.Body != "complete":
					t.Fatalf("got %d %q %v", response.Status, response.Body, response.Err)
				}
			}
		})
	}
}

// TestReusedConnection closes a reused connection after its second request. By
// default net/http's transport would then resend the request; entry must not.
func TestReusedConnection(t *testing.T) {
	t.Parallel()
	u := newTestUpstream(t, modeReusedConnection)
	h := newHarness(t, u)
	headers := http.Header{proto.HeaderUnrepeatable: {"true"}, "Idempotency-Key": {"12"}}
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
		if first := h.call(method, "/lots", "", headers); first.Status != http.StatusOK {
			t.Fatalf("%s: first request got %+v", method, first)
		}
		second := h.call(method, "/lots", "", headers)
		if second.Outcome != proto.OutcomeUnknown {
			t.Errorf("%s: second request got %d %q", method, second.Status, second.Outcome)
		}
		if runs := u.runCount(second.ID); runs != 1 {
			t.Errorf("%s: request ran %d times, want once", method, runs)
		}
	}
}

// TestAbandonedResponse lets requests time out before their responses arrive. No
// later request may get the response to an earlier one.
func TestAbandonedResponse(t *testing.T) {
	t.Parallel()
	u := newTestUpstream(t, modeLate)
	h := newHarness(t, u)
	headers := http.Header{proto.HeaderDeadline: {"100"}}
	for range 5 {
		response := h.call(http.MethodGet, "/lots", "", headers)
		if response.Body == "late" || response.Outcome != proto.OutcomeUnknown {
			t.Fatalf("got %d %q", response.Status, response.Body)
		}
	}
}
