package fold

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// MaxRecordBytes is the largest record that the fold accepts.
const MaxRecordBytes = 256 << 10

// CheckpointPartBytes is the usual size of a part of a checkpoint.
const CheckpointPartBytes = 64 << 10

// Record is one entry of the log; exactly one of its fields is set.
type Record struct {
	Checkpoint  *Checkpoint  `json:"checkpoint,omitempty"`
	Publication *Publication `json:"publication,omitempty"`
}

// Publication asks for all of its changes or none.
type Publication struct {
	ID        string   `json:"id"`
	Operator  string   `json:"operator"`
	Documents []Change `json:"documents"`
}

// Change sets or deletes one document when Base is its current revision; a
// document that never was has revision 0.
type Change struct {
	Name    string `json:"name"`
	Base    uint64 `json:"base"`
	Body    string `json:"body,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Checkpoint is one part of a renewed state; Position is the offset of the
// first record that the state does not cover.
type Checkpoint struct {
	ID        string     `json:"id"`
	Position  uint64     `json:"position"`
	Part      int        `json:"part"`
	Parts     int        `json:"parts"`
	Documents []Document `json:"documents"`
}

// Document is a document at a revision; a deleted one keeps its revision.
type Document struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Body     string `json:"body,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Encode returns the record as stored in the log.
func Encode(record Record) ([]byte, error) {
	data, err := json.Marshal(record)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if len(data) > MaxRecordBytes {
		return nil, errors.Errorf("record of %d bytes is larger than %d", len(data), MaxRecordBytes)
	}
	return data, nil
}

// Decode reads a stored record and refuses foreign, oversized and malformed
// ones.
func Decode(data []byte) (Record, error) {
	var record Record
	if len(data) > MaxRecordBytes {
		return record, errors.Errorf("record of %d bytes is larger than %d", len(data), MaxRecordBytes)
	}
	if err := json.Unmarshal(data, &record); err != nil {
		return record, errors.Wrap(err, "decode record")
	}
	switch {
	case record.Publication != nil && record.Checkpoint != nil:
		return record, errors.New("record is both publication and checkpoint")
	case record.Publication != nil:
		return record, checkPublication(record.Publication)
	case record.Checkpoint != nil:
		return record, checkCheckpoint(record.Checkpoint)
	default:
		return record, errors.New("record is neither publication nor checkpoint")
	}
}

func checkPublication(publication *Publication) error {
	if publication.ID == "" {
		return errors.New("publication has no id")
	}
	if len(publication.Documents) == 0 {
		return errors.New("publication has no documents")
	}
	names := make(map[string]struct{}, len(publication.Documents))
	for _, change := range publication.Documents {
		if change.Name == "" {
			return errors.New("publication has a document without a name")
		}
		if _, found := names[change.Name]; found {
			return errors.Errorf("publication changes %s twice", change.Name)
		}
		names[change.Name] = struct{}{}
	}
	return nil
}

func checkCheckpoint(checkpoint *Checkpoint) error {
	if checkpoint.ID == "" {
		return errors.New("checkpoint has no id")
	}
	if checkpoint.Parts < 1 || checkpoint.Part < 0 || checkpoint.Part >= checkpoint.Parts {
		return errors.Errorf("checkpoint has part %d of %d", checkpoint.Part, checkpoint.Parts)
	}
	return nil
}
