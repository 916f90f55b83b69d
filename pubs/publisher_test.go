package pubs_test

import (
	"context"
	"strings"
	"testing"

	"dandeliondoor/fold"
	"dandeliondoor/infra"
	"dandeliondoor/pubs"
)

// countingLog is an empty log that counts appends.
type countingLog struct{ appends int }

func (l *countingLog) Append(context.Context, []byte) (uint64, error) {
	l.appends++
	return 0, nil
}

func (l *countingLog) Read(context.Context, uint64) (infra.Batch, error) { return infra.Batch{}, nil }

// TestOversized publishes a document that is too large for a record. The result must
// not blame the log, and nothing may be appended.
func TestOversized(t *testing.T) {
	t.Parallel()
	log := &countingLog{}
	result := pubs.NewPublisher(log).Publish(context.Background(), fold.Publication{
		ID: "p", Documents: []fold.Change{{Name: "souk", Body: strings.Repeat("x", fold.MaxRecordBytes)}},
	})
	if _, isInvalid := result.(pubs.Invalid); !isInvalid || log.appends > 0 {
		t.Errorf("got %T and %d appends, want Invalid and none", result, log.appends)
	}
}
