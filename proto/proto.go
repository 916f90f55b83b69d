package proto

// Headers that callers send and servers receive.
const (
	// HeaderDeadline is the remaining time for the request in milliseconds.
	HeaderDeadline = "Dandeliondoor-Deadline-Ms"
	// HeaderRequestID identifies the request in responses and logs.
	HeaderRequestID = "Dandeliondoor-Request-Id"
)

// HeaderReason is the header of responses that a daemon generates itself with the reason.
const HeaderReason = "Dandeliondoor-Reason"

// Outcome states whether a request ran, in a response that a daemon generates
// itself.
type Outcome string

// Values of Outcome.
const (
	// OutcomeNotRun means that no upstream ran the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that an upstream may have run the request.
	OutcomeUnknown Outcome = "unknown"
)
