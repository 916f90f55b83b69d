package retry_test

import (
	"testing"

	"dandeliondoor/proto"
	"dandeliondoor/retry"
)

func TestAgain(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name       string
		failure    retry.Failure
		repeatable bool
		intact     bool
		tokens     bool
		again      bool
		outcome    proto.Outcome
	}{
		{name: "answered, repeatable", failure: retry.Answered{}, repeatable: true, intact: true, tokens: true, again: true, outcome: proto.OutcomeUnknown},
		{name: "answered, unrepeatable", failure: retry.Answered{}, intact: true, tokens: true, outcome: proto.OutcomeUnknown},
		{name: "body spent", failure: retry.NotWritten{}, repeatable: true, tokens: true, outcome: proto.OutcomeNotRun},
		{name: "broken, no budget", failure: retry.Broken{}, repeatable: true, intact: true, outcome: proto.OutcomeUnknown},
		{name: "broken, repeatable", failure: retry.Broken{}, repeatable: true, intact: true, tokens: true, again: true, outcome: proto.OutcomeUnknown},
		{name: "broken, unrepeatable", failure: retry.Broken{}, intact: true, tokens: true, outcome: proto.OutcomeUnknown},
		{name: "not written, no budget", failure: retry.NotWritten{}, intact: true, again: true, outcome: proto.OutcomeNotRun},
		{name: "shed, repeatable", failure: retry.Shed{}, repeatable: true, intact: true, tokens: true, again: true, outcome: proto.OutcomeNotRun},
		{name: "shed, unrepeatable", failure: retry.Shed{}, intact: true, tokens: true, again: true, outcome: proto.OutcomeNotRun},
		{name: "shed, unrepeatable, no budget", failure: retry.Shed{}, intact: true, outcome: proto.OutcomeNotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			budget := retry.NewBudget()
			for !test.tokens && budget.Take() {
			}
			history := retry.History{Repeatable: test.repeatable}
			history.Note(test.failure)
			if again := history.Again(test.failure, test.intact, budget); again != test.again {
				t.Errorf("again is %t", again)
			}
			if outcome := history.Outcome(); outcome != test.outcome {
				t.Errorf("outcome is %s", outcome)
			}
		})
	}
}

func TestBudget(t *testing.T) {
	t.Parallel()
	budget := retry.NewBudget()
	for budget.Take() {
	}
	for range 100 {
		budget.Succeeded(20)
	}
	allowed := 0
	for budget.Take() {
		allowed++
	}
	if allowed < 19 || allowed > 20 {
		t.Errorf("%d retries after 100 successes at 20%%", allowed)
	}
}

// TestShedAfterRun refuses a second send of an unrepeatable request that one
// upstream may have run, whatever another one says of it.
func TestShedAfterRun(t *testing.T) {
	t.Parallel()
	history := retry.History{}
	history.Note(retry.Broken{})
	history.Note(retry.Shed{})
	if history.Again(retry.Shed{}, true, retry.NewBudget()) {
		t.Error("an unrepeatable request that may have run is sent again")
	}
}
