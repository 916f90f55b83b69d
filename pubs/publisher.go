package pubs

import (
	"context"
	"time"

	"dandeliondoor/fold"
	"dandeliondoor/infra"
)

// A record that has not been found after maxReadsPerAppend reads, for example because
// the append failed, is appended again, until it was appended maxAppends times.
const (
	readBackInterval  = 200 * time.Millisecond
	maxReadsPerAppend = 10
	maxAppends        = 3
)

// Log is the part of the client of the platform's log that a publisher uses.
type Log interface {
	Append(ctx context.Context, data []byte) (uint64, error)
	Read(ctx context.Context, from uint64) (infra.Batch, error)
}

var _ Log = &infra.LogClient{}

// Publisher publishes to a log.
type Publisher struct {
	log   Log
	state *fold.State
}

// NewPublisher returns a publisher that has not read the log yet.
func NewPublisher(log Log) *Publisher {
	return &Publisher{log: log, state: fold.NewState()}
}

// State returns the active configuration as of the last record read.
func (p *Publisher) State() *fold.State { return p.state }

// Load reads the log up to its end, starting from a checkpoint if the first records
// are gone. It returns nil on success.
func (p *Publisher) Load(ctx context.Context) Result {
	batch, err := p.log.Read(ctx, 0)
	if err != nil {
		return Unreachable{Err: err}
	}
	if batch.Earliest > 0 {
		state, err := p.readCheckpoint(ctx, batch.Earliest)
		if err != nil {
			return Unreachable{Err: err}
		}
		if state == nil {
			return NoCheckpoint{Earliest: batch.Earliest}
		}
		p.state = state
	}
	if _, err := p.readOn(ctx, ""); err != nil {
		return Unreachable{Err: err}
	}
	return nil
}

// readCheckpoint returns the state of the first complete checkpoint, or nil if there
// is none.
func (p *Publisher) readCheckpoint(ctx context.Context, earliest uint64) (*fold.State, error) {
	assembler := fold.NewAssembler(earliest)
	for from := earliest; ; {
		batch, err := p.log.Read(ctx, from)
		if err != nil {
			return nil, err
		}
		for _, record := range batch.Records {
			if state, complete := assembler.Add(record.Data); complete {
				return state, nil
			}
			from = record.Offset + 1
		}
		if from >= batch.Next || len(batch.Records) == 0 {
			return nil, nil
		}
	}
}

// readOn applies the records up to the end of the log. It returns the result of the
// publication with the given ID, or nil if none of the records is that publication.
func (p *Publisher) readOn(ctx context.Context, id string) (fold.Result, error) {
	var found fold.Result
	for {
		batch, err := p.log.Read(ctx, p.state.Position())
		if err != nil {
			return found, err
		}
		for _, record := range batch.Records {
			result := p.state.Apply(record.Offset, record.Data)
			if found == nil && publicationID(result) == id && id != "" {
				found = result
			}
		}
		if p.state.Position() >= batch.Next || len(batch.Records) == 0 {
			return found, nil
		}
	}
}

func publicationID(result fold.Result) string {
	switch result := result.(type) {
	case fold.Accepted:
		return result.ID
	case fold.Rejected:
		return result.ID
	default:
		return ""
	}
}

// Publish appends a publication and reads the log until it finds the record and its
// outcome. If the log's response was lost, it looks for the record before it appends
// it again. A second record has no effect because it has the same ID.
func (p *Publisher) Publish(ctx context.Context, publication fold.Publication) Result {
	data, err := fold.Encode(fold.Record{Publication: &publication})
	if err != nil {
		return Invalid{Err: err}
	}
	answerLost := false
	for range maxAppends {
		_, appendErr := p.log.Append(ctx, data)
		if appendErr != nil {
			answerLost = true
			err = appendErr
		}
		found, readErr := p.readBack(ctx, publication.ID)
		if readErr != nil {
			err = readErr
		}
		switch found := found.(type) {
		case fold.Accepted:
			return Accepted{ID: found.ID, Documents: found.Documents, AnswerLost: answerLost}
		case fold.Rejected:
			return Rejected{ID: found.ID, Conflicts: found.Conflicts}
		}
		if ctx.Err() != nil {
			break
		}
	}
	return Unconfirmed{ID: publication.ID, Err: err}
}

// readBack polls the log for the record of the publication.
func (p *Publisher) readBack(ctx context.Context, id string) (fold.Result, error) {
	var err error
	for range maxReadsPerAppend {
		var found fold.Result
		found, err = p.readOn(ctx, id)
		if found != nil {
			return found, nil
		}
		timer := time.NewTimer(readBackInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, ctx.Err()
		}
	}
	return nil, err
}
