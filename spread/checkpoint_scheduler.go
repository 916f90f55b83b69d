package spread

import (
	"math/rand/v2"
	"time"
)

const (
	// checkpointsPerRetention is the number of checkpoints per retention period of the
	// log.
	checkpointsPerRetention = 4
	// checkpointJitter is the range of the random delay that keeps readers from
	// writing at the same time.
	checkpointJitter = 10 * time.Second
	// checkpointInProgressDelay is the minimum time for which a reader postpones its
	// next checkpoint after it has seen a part of one or failed to write one.
	checkpointInProgressDelay = time.Minute
)

// CheckpointScheduler decides when this reader writes a checkpoint. A checkpoint is
// due before the log deletes the last one, so that the log always retains the
// configuration, and random delays keep most readers from writing at the same time.
type CheckpointScheduler struct {
	interval time.Duration
	random   *rand.Rand
	due      time.Time
	urgent   bool
	position uint64 // position of the last complete checkpoint
}

// NewCheckpointScheduler returns a scheduler for a log that retains records for the
// given time.
func NewCheckpointScheduler(now time.Time, retention time.Duration, seed uint64) *CheckpointScheduler {
	s := &CheckpointScheduler{
		interval: retention / checkpointsPerRetention,
		random:   rand.New(rand.NewPCG(seed, seed)),
	}
	s.due = now.Add(s.randomDelay(s.interval))
	return s
}

// CheckpointStarted records that a part of a checkpoint of any daemon was seen or
// that this daemon failed to write one. It postpones the next checkpoint.
func (s *CheckpointScheduler) CheckpointStarted(now time.Time) {
	if until := now.Add(checkpointInProgressDelay + s.randomDelay(checkpointJitter)); s.due.Before(until) {
		s.due = until
	}
}

// CheckpointCompleted records a complete checkpoint; position is the offset of the
// first record that it does not include.
func (s *CheckpointScheduler) CheckpointCompleted(now time.Time, position uint64) {
	s.position = max(s.position, position)
	s.urgent = false
	s.due = now.Add(s.interval + s.randomDelay(checkpointJitter))
}

// LogTruncated records the log's earliest offset. If that is past the position of
// the last checkpoint, a new one is urgent.
func (s *CheckpointScheduler) LogTruncated(now time.Time, earliest uint64) {
	if earliest > s.position {
		s.expedite(now)
	}
}

// LogEmptied records that the log lost records that no checkpoint replaces, which
// makes a new checkpoint urgent.
func (s *CheckpointScheduler) LogEmptied(now time.Time) {
	s.position = 0
	s.expedite(now)
}

// Due reports whether a checkpoint is due.
func (s *CheckpointScheduler) Due(now time.Time) bool {
	return !now.Before(s.due)
}

// expedite reschedules the next checkpoint to a random time within checkpointJitter,
// unless one is already urgent.
func (s *CheckpointScheduler) expedite(now time.Time) {
	if s.urgent {
		return
	}
	s.urgent = true
	s.due = now.Add(s.randomDelay(checkpointJitter))
}

func (s *CheckpointScheduler) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(limit))
}
