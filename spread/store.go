package spread

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"dandeliondoor/fold"
	"dandeliondoor/route"
)

// maxChangeHistory is the number of changes that are kept for followers. A follower
// that is further behind gets the heads of all documents instead.
const maxChangeHistory = 512

// change is a changed document with its sequence number on this daemon.
type change struct {
	seq      uint64
	document fold.Document
}

// store holds the active configuration of this daemon.
type store struct {
	logger *logrus.Entry
	epoch  uint64 // random ID of this run; sequence numbers of other runs do not compare

	mutex       sync.Mutex
	state       *fold.State
	covered     bool      // whether the state has ever included the whole log
	asOf        time.Time // last time at which the state included the whole log
	deployments *deployments
	since       map[string]time.Time // when each document was last changed
	changes     []change
	seq         uint64        // sequence number of the last change
	changed     chan struct{} // closed and replaced at each change
	watchers    []func()
	skipped     int
	rejected    int

	table atomic.Pointer[route.Table]
}

func newStore(epoch uint64, logger *logrus.Entry) *store {
	s := &store{
		logger:      logger,
		epoch:       epoch,
		state:       fold.NewState(),
		deployments: newDeployments(),
		since:       make(map[string]time.Time),
		changed:     make(chan struct{}),
	}
	s.table.Store(s.deployments.table())
	return s
}

// apply applies a record read from the log.
func (s *store) apply(now time.Time, offset uint64, data []byte) fold.Result {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	result := s.state.Apply(offset, data)
	switch result := result.(type) {
	case fold.Accepted:
		s.logger.WithField("publication", result.ID).Info("publication accepted")
		s.activate(now, result.Documents)
	case fold.CheckpointApplied:
		s.activate(now, result.Updated)
	case fold.Rejected:
		s.rejected++
		s.logger.WithField("publication", result.ID).Info("publication rejected: a base revision is not current")
	case fold.Skipped:
		s.skipped++
		s.logger.WithField("offset", result.Offset).WithError(result.Err).Warn("record skipped")
	case fold.Duplicate:
	}
	return result
}

// merge applies documents from a checkpoint or another daemon.
func (s *store) merge(now time.Time, documents []fold.Document) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.activate(now, s.state.Merge(documents))
}

// activate updates the route table from changed documents, adds them to the change
// history, wakes waiting followers and calls the watchers. The caller holds mutex.
func (s *store) activate(now time.Time, documents []fold.Document) {
	if len(documents) == 0 {
		return
	}
	for _, document := range documents {
		s.seq++
		s.changes = append(s.changes, change{seq: s.seq, document: document})
		s.since[document.Name] = now
	}
	if extra := len(s.changes) - maxChangeHistory; extra > 0 {
		s.changes = append(s.changes[:0:0], s.changes[extra:]...)
	}
	for _, finding := range s.deployments.apply(documents) {
		s.logger.WithField("place", finding.Position.String()).Warn("invalid document; keeping its last valid version: " + finding.Message)
	}
	s.table.Store(s.deployments.table())
	close(s.changed)
	s.changed = make(chan struct{})
	for _, watcher := range s.watchers {
		watcher()
	}
}

// seek sets the position in the log.
func (s *store) seek(position uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.state.Seek(position)
}

// confirm records that the state included the whole log as of the given time.
func (s *store) confirm(at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.covered = true
	if at.After(s.asOf) {
		s.asOf = at
	}
}

// snapshot is a consistent copy of the fields of a store that change with its state.
// The channel changed is closed at the next change.
type snapshot struct {
	position uint64
	digest   uint64
	covered  bool
	asOf     time.Time
	changed  <-chan struct{}
}

func (s *store) snapshot() snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return snapshot{
		position: s.state.Position(),
		digest:   s.state.Digest(),
		covered:  s.covered,
		asOf:     s.asOf,
		changed:  s.changed,
	}
}

// checkpoints returns the parts of a checkpoint of the current state.
func (s *store) checkpoints(id string) []fold.Checkpoint {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return fold.CheckpointParts(s.state, id, fold.CheckpointPartBytes)
}

// changesSince returns the documents that changed after a sequence number, and
// whether the history still holds all of them.
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

// missing returns the names of the heads that differ from the documents in the
// store.
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
