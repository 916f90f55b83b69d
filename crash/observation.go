package crash

// Change is what happened to the count of a fingerprint.
type Change string

// The changes of a count.
const (
	// ChangeNone means that the count is the same.
	ChangeNone Change = ""
	// ChangeCounted is a server that ended while it ran the request.
	ChangeCounted Change = "counted"
	// ChangeCleared is a count that an answer ended.
	ChangeCleared Change = "cleared"
	// ChangeExpired is a count that was too old.
	ChangeExpired Change = "expired"
	// ChangeEvicted means that the table was full.
	ChangeEvicted Change = "evicted"
	// ChangeMissed is an end that could not be counted, since its server or attempt
	// was not known any more.
	ChangeMissed Change = "missed"
)

// Observation reports a change of the count of a fingerprint, which is 0 if it is not
// known. Count is the number after the change.
type Observation struct {
	Fingerprint Fingerprint
	Change      Change
	Count       int
}
