package spread_test

import (
	"testing"
	"time"

	"dandeliondoor/spread"
)

// TestCheckpointScheduler checks that of 54 readers few write the same checkpoint,
// and that a checkpoint is due within 10 s after the log was truncated past the last
// one.
func TestCheckpointScheduler(t *testing.T) {
	t.Parallel()
	epoch := time.Date(2026, 8, 1, 0, 0, 0, 0, time.UTC)
	const retention, poll = 24 * time.Hour, 500 * time.Millisecond
	var schedulers []*spread.CheckpointScheduler
	for seed := range uint64(54) {
		schedulers = append(schedulers, spread.NewCheckpointScheduler(epoch, retention, seed))
	}
	written := 0
	for now := epoch; now.Before(epoch.Add(5 * 24 * time.Hour)); now = now.Add(poll) {
		writes := 0
		for _, s := range schedulers {
			if s.Due(now) {
				writes++
				s.CheckpointCompleted(now, 1)
			}
		}
		if writes == 0 {
			continue
		}
		written += writes
		for _, s := range schedulers {
			s.CheckpointCompleted(now, 1)
		}
	}
	if written < 15 || written > 60 {
		t.Errorf("%d checkpoints in 5 days, want about 20", written)
	}
	s := schedulers[0]
	now := epoch.Add(6 * 24 * time.Hour)
	s.CheckpointCompleted(now, 100)
	s.LogTruncated(now, 101)
	if !s.Due(now.Add(10 * time.Second)) {
		t.Error("no checkpoint is due within 10 s after the log was truncated past the last one")
	}
}
