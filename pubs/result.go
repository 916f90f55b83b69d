package pubs

import "dandeliondoor/fold"

// Result is the outcome of a publication.
type Result interface{ isResult() }

// Accepted means that the changes of the publication are applied. AnswerLost
// reports whether the log's response was lost and the record was found by reading.
type Accepted struct {
	ID         string
	Documents  []fold.Document
	AnswerLost bool
}

// Rejected means that another publication came first: at least one change is not
// based on the current revision of its document, so none of the changes are applied.
type Rejected struct {
	ID        string
	Conflicts []fold.Conflict
}

// Invalid means that the publication cannot be stored, for example because it is too
// large. Nothing was written.
type Invalid struct{ Err error }

// Unreachable means that the log could not be read. Nothing was written.
type Unreachable struct{ Err error }

// Unconfirmed means that the record has not been found in the log, for example
// because the log's response was lost. It may still appear.
type Unconfirmed struct {
	ID  string
	Err error
}

// NoCheckpoint means that the first records of the log are gone and it has no
// complete checkpoint, so that the active configuration is unknown.
type NoCheckpoint struct{ Earliest uint64 }

// EmptyLog means that the log contains no documents, which is expected only before
// the first publication.
type EmptyLog struct{}

// Unchanged means that the publication would change nothing.
type Unchanged struct{}

var (
	_ Result = Accepted{}
	_ Result = Rejected{}
	_ Result = Invalid{}
	_ Result = Unreachable{}
	_ Result = Unconfirmed{}
	_ Result = NoCheckpoint{}
	_ Result = EmptyLog{}
	_ Result = Unchanged{}
)

func (Accepted) isResult()     {}
func (Rejected) isResult()     {}
func (Invalid) isResult()      {}
func (Unreachable) isResult()  {}
func (Unconfirmed) isResult()  {}
func (NoCheckpoint) isResult() {}
func (EmptyLog) isResult()     {}
func (Unchanged) isResult()    {}
