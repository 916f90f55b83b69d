package spread

import (
	"context"
	"strconv"
	"time"

	"github.com/google/uuid"

	"dandeliondoor/fold"
	"dandeliondoor/infra"
)

const (
	// gapRecoveryTimeout is how long a daemon tries to recover deleted log records
	// before it continues without them.
	gapRecoveryTimeout = 10 * time.Second
	// checkpointPartInterval is the pause after each part of a checkpoint, which
	// leaves the log free for other writers.
	checkpointPartInterval = 50 * time.Millisecond
)

// Log is the part of the platform's log that the service uses.
type Log interface {
	Append(ctx context.Context, data []byte) (uint64, error)
	Read(ctx context.Context, from uint64) (infra.Batch, error)
}

var _ Log = &infra.LogClient{}

// readOnce applies the new records of the log and reports whether the log could be
// read.
func (s *Service) readOnce(ctx context.Context) bool {
	for ctx.Err() == nil {
		started := time.Now()
		snapshot := s.store.snapshot()
		batch, err := s.log.Read(ctx, snapshot.position)
		if err != nil {
			s.logger.WithError(err).Debug("cannot read the log")
			return false
		}
		switch {
		case batch.Next < snapshot.position:
			s.logger.WithField("next", batch.Next).Warn("the log lost records; keeping the active configuration")
			s.store.seek(batch.Earliest)
			s.scheduler.LogEmptied(time.Now())
			continue
		case batch.Earliest > snapshot.position:
			if !s.recoverGap(ctx, batch.Earliest) {
				return true
			}
			continue
		}
		s.applyBatch(time.Now(), batch)
		if s.store.snapshot().position >= batch.Next {
			s.gapSince = time.Time{}
			s.store.confirm(started)
			s.scheduler.LogTruncated(time.Now(), batch.Earliest)
			return true
		}
	}
	return false
}

func (s *Service) applyBatch(now time.Time, batch infra.Batch) {
	for _, record := range batch.Records {
		s.observeCheckpoint(now, record.Data)
		s.store.apply(now, record.Offset, record.Data)
	}
}

// observeCheckpoint informs the scheduler of checkpoints in the log, which may come
// from any daemon.
func (s *Service) observeCheckpoint(now time.Time, data []byte) {
	record, err := fold.Decode(data)
	if err != nil || record.Checkpoint == nil {
		return
	}
	checkpoint := record.Checkpoint
	s.scheduler.CheckpointStarted(now)
	if checkpoint.Part == checkpoint.Parts-1 {
		s.scheduler.CheckpointCompleted(now, checkpoint.Position)
	}
}

// recoverGap handles records that the log deleted before this daemon read them. It
// takes their changes from a checkpoint in the log or from another daemon. If
// neither has them for gapRecoveryTimeout, it continues with the active
// configuration. This is safe because later publications that are based on the lost
// changes are rejected: their base is not the current revision. A daemon whose
// configuration has never included the whole log does not continue without them.
// recoverGap reports whether reading can continue.
func (s *Service) recoverGap(ctx context.Context, earliest uint64) bool {
	if state, found := s.findCheckpoint(ctx, earliest); found {
		now := time.Now()
		s.store.merge(now, state.Documents())
		s.store.seek(state.Position())
		s.scheduler.CheckpointCompleted(now, state.Position())
		return true
	}
	s.syncRandomPeers(ctx)
	snapshot := s.store.snapshot()
	if snapshot.covered && snapshot.position >= earliest {
		return true
	}
	now := time.Now()
	if s.gapSince.IsZero() {
		s.gapSince = now
	}
	if now.Sub(s.gapSince) < gapRecoveryTimeout || !snapshot.covered {
		return false
	}
	s.logger.WithField("earliest", earliest).
		Error("the log deleted records that no daemon has read; publications among them were not applied")
	s.store.seek(earliest)
	s.scheduler.LogEmptied(now)
	return true
}

// findCheckpoint reads the log and returns the state of its last complete
// checkpoint.
func (s *Service) findCheckpoint(ctx context.Context, earliest uint64) (*fold.State, bool) {
	assembler := fold.NewAssembler(earliest)
	var last *fold.State
	for from := earliest; ctx.Err() == nil; {
		batch, err := s.log.Read(ctx, from)
		if err != nil || batch.Earliest > earliest {
			return nil, false
		}
		for _, record := range batch.Records {
			if state, complete := assembler.Add(record.Data); complete {
				last = state
			}
			from = record.Offset + 1
		}
		if from >= batch.Next || len(batch.Records) == 0 {
			break
		}
	}
	return last, last != nil
}

// writeDueCheckpoint writes a checkpoint if one is due, the configuration has included
// the whole log, and there are documents.
func (s *Service) writeDueCheckpoint(ctx context.Context) {
	now := time.Now()
	snapshot := s.store.snapshot()
	if !s.scheduler.Due(now) || !snapshot.covered || s.store.documentCount() == 0 {
		return
	}
	id := uuid.NewString()
	parts := s.store.checkpoints(id)
	s.logger.WithField("parts", strconv.Itoa(len(parts))).Info("writing a checkpoint")
	for i := range parts {
		if !s.appendCheckpointPart(ctx, &parts[i]) {
			s.scheduler.CheckpointStarted(time.Now())
			return
		}
	}
	s.scheduler.CheckpointCompleted(time.Now(), snapshot.position)
}

func (s *Service) appendCheckpointPart(ctx context.Context, part *fold.Checkpoint) bool {
	data, err := fold.Encode(fold.Record{Checkpoint: part})
	if err != nil {
		s.logger.WithError(err).Error("cannot encode a checkpoint")
		return false
	}
	if _, err := s.log.Append(ctx, data); err != nil {
		s.logger.WithError(err).Warn("cannot write a checkpoint")
		return false
	}
	sleep(ctx, checkpointPartInterval)
	return ctx.Err() == nil
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
