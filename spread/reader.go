package spread

import (
	"context"
	"strconv"
	"time"

	"github.com/google/uuid"

	"dandeliondoor/fold"
	"dandeliondoor/plat"
)

// The times of reading and renewing.
const (
	gapPatience        = 10 * time.Second
	checkpointPartWait = 50 * time.Millisecond
)

// Log is what the service needs of the platform's log.
type Log interface {
	Append(ctx context.Context, data []byte) (uint64, error)
	Read(ctx context.Context, from uint64) (plat.Batch, error)
}

var _ Log = &plat.Log{}

// readOnce folds what is new in the log and reports whether the log answered.
func (s *Service) readOnce(ctx context.Context) bool {
	for ctx.Err() == nil {
		asked := time.Now()
		standing := s.store.standing()
		batch, err := s.log.Read(ctx, standing.position)
		if err != nil {
			s.entry.WithError(err).Debug("cannot read the log")
			return false
		}
		switch {
		case batch.Next < standing.position:
			s.entry.WithField("next", batch.Next).Warn("the log lost its records; keeping what is in force")
			s.store.seek(batch.Earliest)
			s.renewer.Emptied(time.Now())
			continue
		case batch.Earliest > standing.position:
			if !s.closeGap(ctx, batch.Earliest) {
				return true
			}
			continue
		}
		s.foldBatch(time.Now(), batch)
		if s.store.standing().position >= batch.Next {
			s.gapSince = time.Time{}
			s.store.confirm(asked)
			s.renewer.Truncated(time.Now(), batch.Earliest)
			return true
		}
	}
	return false
}

func (s *Service) foldBatch(now time.Time, batch plat.Batch) {
	for _, record := range batch.Records {
		s.noteCheckpoint(now, record.Data)
		s.store.fold(now, record.Offset, record.Data)
	}
}

// noteCheckpoint tells the renewer of checkpoints that others write.
func (s *Service) noteCheckpoint(now time.Time, data []byte) {
	record, err := fold.Decode(data)
	if err != nil || record.Checkpoint == nil {
		return
	}
	checkpoint := record.Checkpoint
	s.renewer.Began(now)
	if checkpoint.Part == checkpoint.Parts-1 {
		s.renewer.Completed(now, checkpoint.Position)
	}
}

// closeGap covers records that the log forgot before this daemon read them,
// from a checkpoint in the log or from another daemon. When nobody can, it goes
// on after a while with what is in force, for a base that is not current keeps
// later publications from changing what was never seen.
func (s *Service) closeGap(ctx context.Context, earliest uint64) bool {
	if state, found := s.scan(ctx, earliest); found {
		now := time.Now()
		s.store.merge(now, state.Documents())
		s.store.seek(state.Position())
		s.renewer.Completed(now, state.Position())
		return true
	}
	s.askAround(ctx)
	standing := s.store.standing()
	if standing.covered && standing.position >= earliest {
		return true
	}
	now := time.Now()
	if s.gapSince.IsZero() {
		s.gapSince = now
	}
	if now.Sub(s.gapSince) < gapPatience || !standing.covered {
		return false
	}
	s.entry.WithField("earliest", earliest).
		Error("the log forgot records that no daemon has read; publications among them are not in force")
	s.store.seek(earliest)
	s.renewer.Emptied(now)
	return true
}

// scan looks through the log for a complete checkpoint.
func (s *Service) scan(ctx context.Context, earliest uint64) (*fold.State, bool) {
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

// renew writes a checkpoint when it is due, slowly enough to leave the log to
// others.
func (s *Service) renew(ctx context.Context) {
	now := time.Now()
	standing := s.store.standing()
	if !s.renewer.Due(now) || !standing.covered || s.store.documentCount() == 0 {
		return
	}
	id := uuid.NewString()
	parts := s.store.checkpoints(id)
	s.entry.WithField("parts", strconv.Itoa(len(parts))).Info("writing a checkpoint")
	for i := range parts {
		if !s.appendPart(ctx, &parts[i]) {
			s.renewer.Began(time.Now())
			return
		}
	}
	s.renewer.Completed(time.Now(), standing.position)
}

func (s *Service) appendPart(ctx context.Context, part *fold.Checkpoint) bool {
	data, err := fold.Encode(fold.Record{Checkpoint: part})
	if err != nil {
		s.entry.WithError(err).Error("cannot encode a checkpoint")
		return false
	}
	if _, err := s.log.Append(ctx, data); err != nil {
		s.entry.WithError(err).Warn("cannot write a checkpoint")
		return false
	}
	sleep(ctx, checkpointPartWait)
	return ctx.Err() == nil
}

func sleep(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
