package crash

// Change is what happened to the count of a fingerprint.
type Change string

// The changes of a count.
const (
	// ChangeNone means that the count is the same.
	ChangeNone Change = ""
	// ChangeCounted is a server that ended while it ran the request.
	ChangeCounted Change = "counted"
	// ChangeCleared is a count that a success ended.
	ChangeCleared Change = "cleared"
	// ChangeWithdrawn is an end of a server that turned out to live.
	ChangeWithdrawn Change = "withdrawn"
)

// Observation reports a change of the count of a fingerprint. Count is the number
// after the change.
type Observation struct {
	Fingerprint Fingerprint
	Change      Change
	Count       int
}
