package fold

// Result is the outcome of applying one record.
type Result interface{ isResult() }

// Accepted reports a publication whose changes were applied.
type Accepted struct {
	ID        string
	Documents []Document
}

// Rejected reports a publication with at least one base that is not the current
// revision.
type Rejected struct {
	ID        string
	Conflicts []Conflict
}

// Duplicate reports a publication that was already accepted or rejected.
type Duplicate struct{ ID string }

// CheckpointApplied reports a checkpoint part and the documents that it updated.
type CheckpointApplied struct {
	ID      string
	Updated []Document
}

// Skipped reports a record that could not be decoded.
type Skipped struct {
	Offset uint64
	Err    error
}

var (
	_ Result = Accepted{}
	_ Result = Rejected{}
	_ Result = Duplicate{}
	_ Result = CheckpointApplied{}
	_ Result = Skipped{}
)

func (Accepted) isResult()          {}
func (Rejected) isResult()          {}
func (Duplicate) isResult()         {}
func (CheckpointApplied) isResult() {}
func (Skipped) isResult()           {}

// Conflict is a change whose base is not the current revision. CurrentPublicationID
// is the publication that set the current revision; it is empty when not
// known, such as for a revision that came from a checkpoint.
type Conflict struct {
	Name                 string
	Base                 uint64
	Current              uint64
	CurrentPublicationID string
}
