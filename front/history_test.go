package front_test

import (
	"testing"

	"pgregory.net/rapid"

	"dandeliondoor/front"
)

// TestAtMostOnce draws the ends of attempts: a request that is not idempotent
// goes to another server only while no server may have run it, and no request
// goes to more servers than its route allows.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	ends := []front.Failure{front.NotSent, front.NotRun, front.Answered, front.Unknown}
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		attempts := rapid.IntRange(1, 4).Draw(t, "attempts")
		history := front.NewHistory(idempotent, attempts)
		sends, mayHaveRun := 0, false
		for {
			history.Began("server")
			sends++
			end := rapid.SampledFrom(ends).Draw(t, "end")
			history.Failed(end)
			switch end {
			case front.NotSent:
				sends--
			case front.Answered, front.Unknown:
				mayHaveRun = true
			case front.NotRun:
			}
			if history.MayHaveRun() != mayHaveRun {
				t.Fatalf("may have run is %t", history.MayHaveRun())
			}
			if !history.Again(end) {
				return
			}
			if mayHaveRun && !idempotent {
				t.Fatal("a request that may have run is sent again")
			}
			if sends >= attempts {
				t.Fatalf("sent to %d servers, %d are allowed", sends+1, attempts)
			}
		}
	})
}

// TestAgain covers attempts that run side by side, whose ends come in any order.
func TestAgain(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name       string
		idempotent bool
		earlier    []front.Failure
		last       front.Failure
		again      bool
	}{
		{name: "idempotent, lost before", idempotent: true, earlier: []front.Failure{front.Unknown}, last: front.NotRun, again: true},
		{name: "lost before, refused now", earlier: []front.Failure{front.Unknown}, last: front.NotRun},
		{name: "lost before, not sent now", earlier: []front.Failure{front.Unknown}, last: front.NotSent},
		{name: "refused before and now", earlier: []front.Failure{front.NotRun}, last: front.NotRun, again: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			history := front.NewHistory(test.idempotent, 4)
			for _, end := range append(test.earlier, test.last) {
				history.Began("server")
				history.Failed(end)
			}
			if again := history.Again(test.last); again != test.again {
				t.Errorf("again is %t, want %t", again, test.again)
			}
		})
	}
}
