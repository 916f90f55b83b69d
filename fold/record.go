package fold

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// MaxRecordBytes is the largest encoded record that Encode and Decode accept.
const MaxRecordBytes = 256 << 10

// CheckpointPartBytes is the target size of a checkpoint part.
const CheckpointPartBytes = 64 << 10

// Record is one entry of the log; exactly one of its fields is set.
type Record struct {
	Checkpoint  *Checkpoint  `json:"checkpoint,omitempty"`
	Publication *Publication `json:"publication,omitempty"`
}

// Publication is a set of changes that are applied all together or not at all.
type Publication struct {
	ID        string   `json:"id"`
	Operator  string   `json:"operator"`
	Documents []Change `json:"documents"`
}

// Change sets or deletes one document if Base is its current revision. A document
// that has never existed has revision 0.
type Change struct {
	Name    string `json:"name"`
	Base    uint64 `json:"base"`
	Body    string `json:"body,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Checkpoint is one part of a snapshot of the state, written back to the log before
// the records that it replaces are deleted. Position is the offset of the first
// record that the snapshot does not include.
type Checkpoint struct {
	ID        string     `json:"id"`
	Position  uint64     `json:"position"`
	Part      int        `json:"part"`
	Parts     int        `json:"parts"`
	Documents []Document `json:"documents"`
}

// Document is a document at one revision. A deleted document is kept with its
// revision.
type Document struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Body     string `json:"body,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Encode returns the record as stored in the log. It returns an error for a record
// that is larger than MaxRecordBytes.
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

// Decode parses a stored record. It returns an error for records that are
// oversized, malformed, invalid or neither a publication nor a checkpoint.
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
		return record, validatePublication(record.Publication)
	case record.Checkpoint != nil:
		return record, validateCheckpoint(record.Checkpoint)
	default:
		return record, errors.New("record is neither publication nor checkpoint")
	}
}

func validatePublication(publication *Publication) error {
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

func validateCheckpoint(checkpoint *Checkpoint) error {
	if checkpoint.ID == "" {
		return errors.New("checkpoint has no id")
	}
	if checkpoint.Parts < 1 || checkpoint.Part < 0 || checkpoint.Part >= checkpoint.Parts {
		return errors.Errorf("checkpoint has part %d of %d", checkpoint.Part, checkpoint.Parts)
	}
	return nil
}
