package proto

// Headers that callers send.
const (
	// HeaderAccount names the caller's client account.
	HeaderAccount = "Dandeliondoor-Account"
	// HeaderUnrepeatable is true on a request that may run at most once.
	HeaderUnrepeatable = "Dandeliondoor-Unrepeatable"
)

// Headers that callers send and upstreams receive.
const (
	// HeaderDeadline is the time left for the request in milliseconds.
	HeaderDeadline = "Dandeliondoor-Deadline-Ms"
	// HeaderRequestID names the request in answers and logs.
	HeaderRequestID = "Dandeliondoor-Request-Id"
)

// Headers of the system's own answers.
const (
	// HeaderOutcome says whether the request ran: not-run or unknown.
	HeaderOutcome = "Dandeliondoor-Outcome"
	// HeaderReason says why the system answered itself.
	HeaderReason = "Dandeliondoor-Reason"
)

// Headers that upstreams answer with.
const (
	// HeaderLoad is the upstream's load from 0 to 1.
	HeaderLoad = "Dandeliondoor-Load"
	// HeaderDraining is true on an upstream that wants no new work.
	HeaderDraining = "Dandeliondoor-Draining"
	// HeaderWarming is true on an upstream that has just started.
	HeaderWarming = "Dandeliondoor-Warming"
	// HeaderShed is not-run on a 503 of an upstream that did not run the
	// request.
	HeaderShed = "Dandeliondoor-Shed"
)

// ShedNotRun is the value of HeaderShed.
const ShedNotRun = "not-run"

// Outcome is what the system knows of a request that it answers itself.
type Outcome string

// The outcomes.
const (
	// OutcomeNotRun means that no upstream ran the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that an upstream may have run the request.
	OutcomeUnknown Outcome = "unknown"
)
