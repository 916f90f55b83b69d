package fold

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// rememberedIDs bounds the memory of judged publications.
const rememberedIDs = 4096

// State is the configuration that a prefix of the log puts in force.
type State struct {
	position  uint64
	documents map[string]Document
	winners   map[string]string
	judged    map[string]struct{}
	order     []string
	digest    uint64
}

// NewState returns the state before the first record of a log.
func NewState() *State {
	return &State{
		documents: make(map[string]Document),
		winners:   make(map[string]string),
		judged:    make(map[string]struct{}),
	}
}

// Position returns the offset of the next record to apply.
func (s *State) Position() uint64 { return s.position }

// Seek moves the position, after a checkpoint or another daemon's state has
// covered what lies before it.
func (s *State) Seek(position uint64) { s.position = position }

// Digest returns a hash over all documents, independent of the order in which
// they came.
func (s *State) Digest() uint64 { return s.digest }

// Len returns the count of documents, deleted ones included.
func (s *State) Len() int { return len(s.documents) }

// Document returns a document by name.
func (s *State) Document(name string) (Document, bool) {
	document, found := s.documents[name]
	return document, found
}

// Documents returns all documents sorted by name.
func (s *State) Documents() []Document {
	documents := make([]Document, 0, len(s.documents))
	for _, document := range s.documents {
		documents = append(documents, document)
	}
	slices.SortFunc(documents, func(a, b Document) int { return strings.Compare(a.Name, b.Name) })
	return documents
}

// Apply folds the stored record at the offset into the state.
func (s *State) Apply(offset uint64, data []byte) Result {
	s.position = offset + 1
	record, err := Decode(data)
	if err != nil {
		return Skipped{Offset: offset, Err: err}
	}
	if record.Checkpoint != nil {
		return CheckpointApplied{ID: record.Checkpoint.ID, Updated: s.Merge(record.Checkpoint.Documents)}
	}
	return s.publish(record.Publication)
}

// Merge takes each document that is ahead of the current one and returns those
// taken; a revision is never lowered.
func (s *State) Merge(documents []Document) []Document {
	var raised []Document
	for _, document := range documents {
		if !ahead(document, s.documents[document.Name]) {
			continue
		}
		s.set(document)
		delete(s.winners, document.Name)
		raised = append(raised, document)
	}
	return raised
}

func (s *State) publish(publication *Publication) Result {
	if _, found := s.judged[publication.ID]; found {
		return Duplicate{ID: publication.ID}
	}
	s.remember(publication.ID)
	if conflicts := s.conflicts(publication); len(conflicts) > 0 {
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
		s.winners[change.Name] = publication.ID
		accepted.Documents = append(accepted.Documents, document)
	}
	return accepted
}

func (s *State) conflicts(publication *Publication) []Conflict {
	var conflicts []Conflict
	for _, change := range publication.Documents {
		current := s.documents[change.Name].Revision
		if change.Base == current {
			continue
		}
		conflicts = append(conflicts, Conflict{
			Name:    change.Name,
			Base:    change.Base,
			Current: current,
			CurrentPublicationID:  s.winners[change.Name],
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

func (s *State) remember(id string) {
	s.judged[id] = struct{}{}
	s.order = append(s.order, id)
	if len(s.order) > rememberedIDs {
		delete(s.judged, s.order[0])
		s.order = s.order[1:]
	}
}

// ahead reports whether a document replaces another. Equal revisions of unequal
// content can only come of a log that lost records; the digest then decides, so
// that all daemons agree.
func ahead(candidate, current Document) bool {
	if candidate.Revision != current.Revision {
		return candidate.Revision > current.Revision
	}
	return Digest(candidate) > Digest(current) && candidate.Revision > 0
}

// Digest returns a hash over the name, revision and content of a document.
func Digest(document Document) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(document.Name)
	var revision [8]byte
	binary.BigEndian.PutUint64(revision[:], document.Revision)
	_, _ = digest.Write(revision[:])
	_, _ = digest.WriteString(document.Body)
	return digest.Sum64()
}
