package fold

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxProcessedIDs is the number of publication IDs that are kept to detect
// duplicates; beyond it the oldest ones are dropped.
const maxProcessedIDs = 4096

// State is the configuration after a prefix of the log has been applied.
type State struct {
	position       uint64
	documents      map[string]Document
	publicationIDs map[string]string
	processed      map[string]struct{}
	processedOrder []string
	digest         uint64
}

// NewState returns the state before the first record of a log.
func NewState() *State {
	return &State{
		documents:      make(map[string]Document),
		publicationIDs: make(map[string]string),
		processed:      make(map[string]struct{}),
	}
}

// Position returns the offset of the next record to apply.
func (s *State) Position() uint64 { return s.position }

// Seek sets the position without applying records, for when a checkpoint or
// another daemon's state already includes the records before it.
func (s *State) Seek(position uint64) { s.position = position }

// Digest returns a hash of all documents that does not depend on the order in
// which they were applied.
func (s *State) Digest() uint64 { return s.digest }

// Len returns the number of documents, deleted ones included.
func (s *State) Len() int { return len(s.documents) }

// Document returns the document with the given name.
func (s *State) Document(name string) (Document, bool) {
	document, found := s.documents[name]
	return document, found
}

// Documents returns all documents, deleted ones included, sorted by name.
func (s *State) Documents() []Document {
	documents := make([]Document, 0, len(s.documents))
	for _, document := range s.documents {
		documents = append(documents, document)
	}
	slices.SortFunc(documents, func(a, b Document) int { return strings.Compare(a.Name, b.Name) })
	return documents
}

// Apply applies the stored record at the given offset and moves the position past
// it.
func (s *State) Apply(offset uint64, data []byte) Result {
	s.position = offset + 1
	record, err := Decode(data)
	if err != nil {
		return Skipped{Offset: offset, Err: err}
	}
	if record.Checkpoint != nil {
		return CheckpointApplied{ID: record.Checkpoint.ID, Updated: s.Merge(record.Checkpoint.Documents)}
	}
	return s.applyPublication(record.Publication)
}

// Merge sets each document that supersedes the current one and returns the
// documents that were set. It never lowers a revision.
func (s *State) Merge(documents []Document) []Document {
	var updated []Document
	for _, document := range documents {
		if !supersedes(document, s.documents[document.Name]) {
			continue
		}
		s.set(document)
		delete(s.publicationIDs, document.Name)
		updated = append(updated, document)
	}
	return updated
}

func (s *State) applyPublication(publication *Publication) Result {
	if _, found := s.processed[publication.ID]; found {
		return Duplicate{ID: publication.ID}
	}
	s.markProcessed(publication.ID)
	if conflicts := s.findConflicts(publication); len(conflicts) > 0 {
		return Rejected{ID: publication.ID, Conflicts: conflicts}
	}
	accepted := Accepted{ID: publication.ID}
	for _, change := range publication.Documents {
		document := Document{
			Name:     change.Name,
			Revision: change.Base + 1,
			Body:     change.Body,
			Deleted:  change.Deleted,
		}
		s.set(document)
		s.publicationIDs[change.Name] = publication.ID
		accepted.Documents = append(accepted.Documents, document)
	}
	return accepted
}

func (s *State) findConflicts(publication *Publication) []Conflict {
	var conflicts []Conflict
	for _, change := range publication.Documents {
		current := s.documents[change.Name].Revision
		if change.Base == current {
			continue
		}
		conflicts = append(conflicts, Conflict{
			Name:                 change.Name,
			Base:                 change.Base,
			Current:              current,
			CurrentPublicationID: s.publicationIDs[change.Name],
		})
	}
	return conflicts
}

func (s *State) set(document Document) {
	if old, found := s.documents[document.Name]; found {
		s.digest ^= Digest(old)
	}
	s.digest ^= Digest(document)
	s.documents[document.Name] = document
}

func (s *State) markProcessed(id string) {
	s.processed[id] = struct{}{}
	s.processedOrder = append(s.processedOrder, id)
	if len(s.processedOrder) > maxProcessedIDs {
		delete(s.processed, s.processedOrder[0])
		s.processedOrder = s.processedOrder[1:]
	}
}

// supersedes reports whether the candidate replaces the current document. Equal
// revisions with different content only occur after the log has lost records; the
// higher digest then wins, so that all daemons choose the same document.
func supersedes(candidate, current Document) bool {
	if candidate.Revision != current.Revision {
		return candidate.Revision > current.Revision
	}
	return Digest(candidate) > Digest(current) && candidate.Revision > 0
}

// Digest returns a hash of the name, revision and body of a document, and of whether
// it is deleted.
func Digest(document Document) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(document.Name)
	var revision [8]byte
	binary.BigEndian.PutUint64(revision[:], document.Revision)
	_, _ = digest.Write(revision[:])
	deleted := byte(0)
	if document.Deleted {
		deleted = 1
	}
	_, _ = digest.Write([]byte{deleted})
	_, _ = digest.WriteString(document.Body)
	return digest.Sum64()
}
