package spread

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"dandeliondoor/fold"
	"dandeliondoor/route"
)

// maxRemembered bounds the changes that followers can catch up with.
const maxRemembered = 512

// change is a document with the sequence number of its arrival here.
type change struct {
	seq      uint64
	document fold.Document
}

// store holds the configuration in force on this daemon.
type store struct {
	log   *logrus.Entry
	epoch uint64

	mutex    sync.Mutex
	state    *fold.State
	covered  bool
	freshAt  time.Time
	view     *view
	since    map[string]time.Time
	changes  []change
	seq      uint64
	changed  chan struct{}
	watchers []func()
	skipped  int
	rejected int

	table atomic.Pointer[route.Table]
}

func newStore(epoch uint64, log *logrus.Entry) *store {
	s := &store{
		log:     log,
		epoch:   epoch,
		state:   fold.NewState(),
		view:    newView(),
		since:   make(map[string]time.Time),
		changed: make(chan struct{}),
	}
	s.table.Store(s.view.table())
	return s
}

// fold applies records read from the log.
func (s *store) fold(now time.Time, offset uint64, data []byte) fold.Result {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	result := s.state.Apply(offset, data)
	switch result := result.(type) {
	case fold.Accepted:
		s.log.WithField("publication", result.ID).Info("publication accepted")
		s.enforce(now, result.Documents)
	case fold.CheckpointApplied:
		s.enforce(now, result.Updated)
	case fold.Rejected:
		s.rejected++
		s.log.WithField("publication", result.ID).Info("publication rejected; a base is not current")
	case fold.Skipped:
		s.skipped++
		s.log.WithField("offset", result.Offset).WithError(result.Err).Warn("record skipped")
	case fold.Duplicate:
	}
	return result
}

// merge takes documents from a checkpoint or another daemon.
func (s *store) merge(now time.Time, documents []fold.Document) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.enforce(now, s.state.Merge(documents))
}

// enforce puts changed documents in force and wakes followers.
func (s *store) enforce(now time.Time, documents []fold.Document) {
	if len(documents) == 0 {
		return
	}
	for _, document := range documents {
		s.seq++
		s.changes = append(s.changes, change{seq: s.seq, document: document})
		s.since[document.Name] = now
	}
	if extra := len(s.changes) - maxRemembered; extra > 0 {
		s.changes = append(s.changes[:0:0], s.changes[extra:]...)
	}
	for _, finding := range s.view.apply(documents) {
		s.log.WithField("place", finding.Place.String()).Warn("document not usable; the last usable one stays: " + finding.Message)
	}
	s.table.Store(s.view.table())
	close(s.changed)
	s.changed = make(chan struct{})
	for _, watcher := range s.watchers {
		watcher()
	}
}

// seek moves the position in the log.
func (s *store) seek(position uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.state.Seek(position)
}

// confirm notes that the state covers the log as it was at a time.
func (s *store) confirm(at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.covered = true
	if at.After(s.freshAt) {
		s.freshAt = at
	}
}

// standing is what the loop needs to know of the store.
type standing struct {
	position uint64
	digest   uint64
	covered  bool
	freshAt  time.Time
	changed  <-chan struct{}
}

func (s *store) standing() standing {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return standing{
		position: s.state.Position(),
		digest:   s.state.Digest(),
		covered:  s.covered,
		freshAt:  s.freshAt,
		changed:  s.changed,
	}
}

// checkpoints returns the parts of a checkpoint of the current state.
func (s *store) checkpoints(id string) []fold.Checkpoint {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return fold.CheckpointParts(s.state, id, fold.CheckpointPartBytes)
}

// changesSince returns the documents that arrived after a sequence number, and
// whether all of them are still remembered.
func (s *store) changesSince(seq uint64) ([]fold.Document, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if seq > s.seq {
		return nil, false
	}
	if s.seq > seq && (len(s.changes) == 0 || s.changes[0].seq > seq+1) {
		return nil, false
	}
	var documents []fold.Document
	for _, candidate := range s.changes {
		if candidate.seq > seq {
			documents = append(documents, candidate.document)
		}
	}
	return documents, true
}

// heads returns the name, revision and digest of each document.
func (s *store) heads() []Head {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	documents := s.state.Documents()
	heads := make([]Head, len(documents))
	for i, document := range documents {
		heads[i] = headOf(document)
	}
	return heads
}

// missing returns the names of the heads that are not in force here.
func (s *store) missing(heads []Head) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var names []string
	for _, head := range heads {
		own, known := s.state.Document(head.Name)
		if !known || headOf(own) != head {
			names = append(names, head.Name)
		}
	}
	return names
}

func (s *store) documents(names []string) []fold.Document {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	documents := make([]fold.Document, 0, len(names))
	for _, name := range names {
		if document, known := s.state.Document(name); known {
			documents = append(documents, document)
		}
	}
	return documents
}

func headOf(document fold.Document) Head {
	return Head{Name: document.Name, Revision: document.Revision, Digest: fold.Digest(document)}
}
