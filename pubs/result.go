package pubs

import "dandeliondoor/fold"

// Result is what became of a publication.
type Result interface{ isResult() }

// Accepted means that the publication is the winner for each of its documents.
// AnswerLost says that the log's answer did not come and the record was found.
type Accepted struct {
	ID         string
	Documents  []fold.Document
	AnswerLost bool
}

// Rejected means that another publication came first.
type Rejected struct {
	ID        string
	Conflicts []fold.Conflict
}

// Unreachable means that the log could not be read, and nothing was written.
type Unreachable struct{ Err error }

// Unconfirmed means that the log's answer did not come and the record has not been
// seen yet; it may still appear.
type Unconfirmed struct {
	ID  string
	Err error
}

// NoCheckpoint means that the log has neither its first record nor a checkpoint,
// so that nobody can tell what is in force.
type NoCheckpoint struct{ Earliest uint64 }

// EmptyLog means that the log holds no document, which is right only for the
// first publication of all.
type EmptyLog struct{}

// Unchanged means that what would be published is in force already.
type Unchanged struct{}

var (
	_ Result = Accepted{}
	_ Result = Rejected{}
	_ Result = Unreachable{}
	_ Result = Unconfirmed{}
	_ Result = NoCheckpoint{}
	_ Result = EmptyLog{}
	_ Result = Unchanged{}
)

func (Accepted) isResult()    {}
func (Rejected) isResult()    {}
func (Unreachable) isResult() {}
func (Unconfirmed) isResult()     {}
func (NoCheckpoint) isResult()   {}
func (EmptyLog) isResult()       {}
func (Unchanged) isResult()   {}
