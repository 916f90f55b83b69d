package front_test

import (
	"testing"

	"pgregory.net/rapid"

	"dandeliondoor/front"
)

// TestAtMostOnce draws random attempt failures and checks that a request that is
// not idempotent is retried only while no server may have run it, and that no
// request is sent to more servers than its route allows.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	failures := []front.Failure{front.NotSent, front.NotRun, front.ErrorResponse, front.Unknown}
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		attempts := rapid.IntRange(1, 4).Draw(t, "attempts")
		history := front.NewHistory(idempotent, attempts)
		sends, mayHaveRun := 0, false
		for {
			history.RecordAttempt("server")
			sends++
			failure := rapid.SampledFrom(failures).Draw(t, "end")
			history.RecordFailure(failure)
			switch failure {
			case front.NotSent:
				sends--
			case front.ErrorResponse, front.Unknown:
				mayHaveRun = true
			case front.NotRun:
			}
			if history.MayHaveRun() != mayHaveRun {
				t.Fatalf("unexpected MayHaveRun result %t", history.MayHaveRun())
			}
			if !history.MayRetry(failure) {
				return
			}
			if mayHaveRun && !idempotent {
				t.Fatal("retried a request that may have run and is not idempotent")
			}
			if sends >= attempts {
				t.Fatalf("sent to %d servers, want at most %d", sends+1, attempts)
			}
		}
	})
}

// TestMayRetry covers concurrent attempts of one request, which fail in any order.
func TestMayRetry(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name       string
		idempotent bool
		earlier    []front.Failure
		last       front.Failure
		mayRetry   bool
	}{
		{name: "idempotent, earlier outcome unknown", idempotent: true, earlier: []front.Failure{front.Unknown}, last: front.NotRun, mayRetry: true},
		{name: "earlier outcome unknown, then not run", earlier: []front.Failure{front.Unknown}, last: front.NotRun},
		{name: "earlier outcome unknown, then not sent", earlier: []front.Failure{front.Unknown}, last: front.NotSent},
		{name: "not run twice", earlier: []front.Failure{front.NotRun}, last: front.NotRun, mayRetry: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			history := front.NewHistory(test.idempotent, 4)
			for _, failure := range append(test.earlier, test.last) {
				history.RecordAttempt("server")
				history.RecordFailure(failure)
			}
			if mayRetry := history.MayRetry(test.last); mayRetry != test.mayRetry {
				t.Errorf("MayRetry returned %t, want %t", mayRetry, test.mayRetry)
			}
		})
	}
}
