package spread_test

import (
	"fmt"
	"testing"
	"time"

	"dandeliondoor/spread"
)

// TestRoleOf checks for each count of daemons that every follower reaches a
// reader over earlier daemons, and that none has more than 8 followers.
func TestRoleOf(t *testing.T) {
	t.Parallel()
	for _, count := range []int{1, 2, 3, 16, 228} {
		var ranked []string
		for i := range count {
			ranked = append(ranked, fmt.Sprint("daemon-", i))
		}
		followers := make(map[string]int)
		readers, deepest := 0, 0
		for _, name := range ranked {
			switch role := spread.RoleOf(ranked, name).(type) {
			case spread.Reader:
				readers++
			case spread.Follower:
				followers[role.Ancestors[0]]++
				deepest = max(deepest, len(role.Ancestors))
			}
		}
		if readers != min(count, 2) || deepest > 4 {
			t.Errorf("%d daemons: %d readers, %d ancestors", count, readers, deepest)
		}
		for name, number := range followers {
			if number > 8 {
				t.Errorf("%d daemons: %s has %d followers", count, name, number)
			}
		}
	}
}

// TestRenewer lets 54 readers wait for the same renewal: few of them write, and
// a log that was cut behind the last checkpoint is renewed at once.
func TestRenewer(t *testing.T) {
	t.Parallel()
	epoch := time.Date(2026, 8, 1, 0, 0, 0, 0, time.UTC)
	const retention, poll = 24 * time.Hour, 500 * time.Millisecond
	var renewers []*spread.Renewer
	for seed := range uint64(54) {
		renewers = append(renewers, spread.NewRenewer(epoch, retention, seed))
	}
	written := 0
	for now := epoch; now.Before(epoch.Add(5 * 24 * time.Hour)); now = now.Add(poll) {
		writes := 0
		for _, r := range renewers {
			if r.Due(now) {
				writes++
				r.Completed(now, 1)
			}
		}
		if writes == 0 {
			continue
		}
		written += writes
		for _, r := range renewers {
			r.Completed(now, 1)
		}
	}
	if written < 15 || written > 60 {
		t.Errorf("%d checkpoints in 5 days, want about 20", written)
	}
	r := renewers[0]
	now := epoch.Add(6 * 24 * time.Hour)
	r.Completed(now, 100)
	r.Truncated(now, 101)
	if !r.Due(now.Add(10 * time.Second)) {
		t.Error("a log cut behind the last checkpoint is not renewed within 10 s")
	}
}
