package fold

// Result is what the fold made of one record.
type Result interface{ isResult() }

// Accepted reports a publication whose changes are in force.
type Accepted struct {
	ID        string
	Documents []Document
}

// Rejected reports a publication of which at least one base is not current.
type Rejected struct {
	ID        string
	Conflicts []Conflict
}

// Duplicate reports a publication that was judged before.
type Duplicate struct{ ID string }

// CheckpointApplied reports a checkpoint part and the documents that it raised.
type CheckpointApplied struct {
	ID     string
	Updated []Document
}

// Skipped reports a record that could not be read.
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

func (Accepted) isResult()  {}
func (Rejected) isResult()  {}
func (Duplicate) isResult() {}
func (CheckpointApplied) isResult()   {}
func (Skipped) isResult()   {}

// Conflict is a change whose base is not the current revision; Winner is the
// publication that set the current one, where known.
type Conflict struct {
	Name    string
	Base    uint64
	Current uint64
	CurrentPublicationID  string
}
