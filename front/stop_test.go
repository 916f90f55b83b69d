package front_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandeliondoor/front"
)

// started is when the planned stops of the tests begin.
var started = time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)

// at returns the time that is a number of milliseconds after the start of a stop.
func at(millis int) time.Time { return started.Add(time.Duration(millis) * time.Millisecond) }

// TestStopAllows decides on attempts at several times of a stop. Issue 27: a request
// that came late in the grace was passed on and cut at its end.
func TestStopAllows(t *testing.T) {
	t.Parallel()
	stop := front.NewStop(started, 2500*time.Millisecond, 6*time.Second)
	for _, test := range []struct {
		name      string
		stop      front.Stop
		now       int
		received  int
		streamed  bool
		deadline  int
		objective time.Duration
		want      bool
	}{
		{name: "no stop", now: 5900, received: 5900, deadline: 60_000, want: true},
		{name: "no stop, streamed", now: 5900, streamed: true, deadline: 60_000, want: true},
		{name: "before the refusal", stop: stop, now: 100, received: 100, deadline: 3000, objective: time.Second, want: true},
		{name: "streamed before the refusal", stop: stop, now: 100, streamed: true, deadline: 3000, objective: time.Second, want: true},
		{name: "deadline after the end, objective before", stop: stop, now: 100, received: 100, deadline: 9000, objective: time.Second, want: true},
		{name: "deadline and objective after the end", stop: stop, now: 100, received: 100, deadline: 9000, objective: 8 * time.Second},
		{name: "deadline after the end, no objective", stop: stop, now: 100, received: 100, deadline: 9000},
		{name: "deadline before the end, long objective", stop: stop, now: 100, received: 100, deadline: 4000, objective: 8 * time.Second, want: true},
		{name: "received before the refusal, waited", stop: stop, now: 3500, received: 2499, deadline: 9000, objective: time.Second, want: true},
		{name: "received before the signal, waited", stop: stop, now: 3500, received: -2000, deadline: 9000, objective: time.Second, want: true},
		{name: "received at the refusal", stop: stop, now: 2500, received: 2500, deadline: 3000, objective: time.Second},
		{name: "body complete after the refusal", stop: stop, now: 2700, received: 2700, deadline: 3000, objective: time.Second},
		{name: "streamed after the refusal", stop: stop, now: 2500, streamed: true, deadline: 3000, objective: time.Second},
		{name: "last moment of a retry", stop: stop, now: 4200, received: 100, deadline: 9000, objective: time.Second, want: true},
		{name: "late retry", stop: stop, now: 4201, received: 100, deadline: 9000, objective: time.Second},
		{name: "late retry with a near deadline", stop: stop, now: 4800, received: 100, deadline: 5100, objective: time.Second, want: true},
		{name: "after the end", stop: stop, now: 5600, received: 100, deadline: 5500, objective: time.Second},
	} {
		attempt := front.Attempt{Received: at(test.received), Deadline: at(test.deadline), Objective: test.objective}
		if test.streamed {
			attempt.Received = time.Time{}
		}
		if got := test.stop.Allows(at(test.now), attempt); got != test.want {
			t.Errorf("%s: got %t, want %t", test.name, got, test.want)
		}
	}
}

// TestStopSchedule checks the schedule of stops with any limits: new requests are
// refused at most 3 s after the signal, requests that servers work on are ended in the
// last sixth, and there is time left after that.
func TestStopSchedule(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		lag := time.Duration(rapid.Int64Range(1, int64(10*time.Second)).Draw(t, "lag"))
		limit := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Minute)).Draw(t, "limit"))
		stop := front.NewStop(started, lag, limit)
		refuses, ends, closes := stop.RefusesAt().Sub(started), stop.EndsAt().Sub(started), stop.ClosesAt().Sub(started)
		serversEnd := stop.ServerDeadline(started.Add(2 * limit)).Sub(started)
		if refuses > 3*time.Second || refuses > lag || !stop.Refuses(stop.RefusesAt()) || stop.Refuses(stop.RefusesAt().Add(-1)) {
			t.Errorf("lag %s: new requests are refused after %s", lag, refuses)
		}
		if refuses > serversEnd || serversEnd >= ends || ends >= closes || closes >= limit || serversEnd < limit*5/6 {
			t.Errorf("limit %s: refusal after %s, deadline of servers %s, end %s, close %s", limit, refuses, serversEnd, ends, closes)
		}
		if deadline := started.Add(serversEnd - 1); !stop.ServerDeadline(deadline).Equal(deadline) {
			t.Errorf("limit %s: a server does not get a deadline before the end", limit)
		}
	})
	if deadline := at(9000); !(front.Stop{}).ServerDeadline(deadline).Equal(deadline) {
		t.Error("a deadline is bounded without a stop")
	}
}
