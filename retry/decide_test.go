package retry_test

import (
	"testing"

	"dandeliondoor/proto"
	"dandeliondoor/retry"
)

func TestAllowRetry(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name       string
		failure    retry.Failure
		repeatable bool
		bodyIntact bool
		hasBudget  bool
		allowed    bool
		outcome    proto.Outcome
	}{
		{name: "server error, repeatable", failure: retry.ServerError{}, repeatable: true, bodyIntact: true, hasBudget: true, allowed: true, outcome: proto.OutcomeUnknown},
		{name: "server error, unrepeatable", failure: retry.ServerError{}, bodyIntact: true, hasBudget: true, outcome: proto.OutcomeUnknown},
		{name: "body not intact", failure: retry.NotWritten{}, repeatable: true, hasBudget: true, outcome: proto.OutcomeNotRun},
		{name: "no response, no budget", failure: retry.NoResponse{}, repeatable: true, bodyIntact: true, outcome: proto.OutcomeUnknown},
		{name: "no response, repeatable", failure: retry.NoResponse{}, repeatable: true, bodyIntact: true, hasBudget: true, allowed: true, outcome: proto.OutcomeUnknown},
		{name: "no response, unrepeatable", failure: retry.NoResponse{}, bodyIntact: true, hasBudget: true, outcome: proto.OutcomeUnknown},
		{name: "not written, no budget", failure: retry.NotWritten{}, bodyIntact: true, allowed: true, outcome: proto.OutcomeNotRun},
		{name: "shed, repeatable", failure: retry.Shed{}, repeatable: true, bodyIntact: true, hasBudget: true, allowed: true, outcome: proto.OutcomeNotRun},
		{name: "shed, unrepeatable", failure: retry.Shed{}, bodyIntact: true, hasBudget: true, allowed: true, outcome: proto.OutcomeNotRun},
		{name: "shed, unrepeatable, no budget", failure: retry.Shed{}, bodyIntact: true, outcome: proto.OutcomeNotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			budget := retry.NewBudget()
			for !test.hasBudget && budget.Take() {
			}
			history := retry.History{Repeatable: test.repeatable}
			history.RecordFailure(test.failure)
			if allowed := history.AllowRetry(test.failure, test.bodyIntact, budget); allowed != test.allowed {
				t.Errorf("retry allowed = %t, want %t", allowed, test.allowed)
			}
			if outcome := history.Outcome(); outcome != test.outcome {
				t.Errorf("outcome = %s, want %s", outcome, test.outcome)
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
		budget.RecordSuccess(20)
	}
	allowed := 0
	for budget.Take() {
		allowed++
	}
	if allowed < 19 || allowed > 20 {
		t.Errorf("%d retries allowed after 100 successes at 20%%, want 19 or 20", allowed)
	}
}

// TestShedAfterRun checks that an unrepeatable request that one upstream may have
// run isn't sent again after another upstream shed it.
func TestShedAfterRun(t *testing.T) {
	t.Parallel()
	history := retry.History{}
	history.RecordFailure(retry.NoResponse{})
	history.RecordFailure(retry.Shed{})
	if history.AllowRetry(retry.Shed{}, true, retry.NewBudget()) {
		t.Error("retry allowed for an unrepeatable request that may have run")
	}
}
