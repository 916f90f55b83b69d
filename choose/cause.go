package choose

// Cause is why an attempt is made.
type Cause uint8

// The causes of an attempt.
const (
	// CauseFirst is the first attempt of a request.
	CauseFirst Cause = iota
	// CauseFailed is a retry after a failure.
	CauseFailed
	// CauseRejected is a retry after a server rejected the request without running it.
	CauseRejected
	// CauseHedge is an attempt beside one that is still running.
	CauseHedge
)
