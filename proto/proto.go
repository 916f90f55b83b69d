package proto

// Headers that callers send.
const (
	// HeaderAccount is the name of the caller's client account.
	HeaderAccount = "Dandeliondoor-Account"
	// HeaderUnrepeatable is "true" if the request must run at most once.
	HeaderUnrepeatable = "Dandeliondoor-Unrepeatable"
)

// Headers that callers send and upstreams receive.
const (
	// HeaderDeadline is the remaining time for the request in milliseconds.
	HeaderDeadline = "Dandeliondoor-Deadline-Ms"
	// HeaderRequestID identifies the request in responses and logs.
	HeaderRequestID = "Dandeliondoor-Request-Id"
)

// Headers of responses that a daemon generates itself.
const (
	// HeaderOutcome is an Outcome: whether an upstream may have run the request.
	HeaderOutcome = "Dandeliondoor-Outcome"
	// HeaderReason is the reason why the daemon generated the response.
	HeaderReason = "Dandeliondoor-Reason"
)

// Headers of responses from upstreams.
const (
	// HeaderLoad is the upstream's load from 0 to 1.
	HeaderLoad = "Dandeliondoor-Load"
	// HeaderDraining is "true" if the upstream should get no new requests.
	HeaderDraining = "Dandeliondoor-Draining"
	// HeaderWarming is "true" if the upstream has just started.
	HeaderWarming = "Dandeliondoor-Warming"
	// HeaderShed is ShedNotRun on a 503 response of an upstream that did not run
	// the request.
	HeaderShed = "Dandeliondoor-Shed"
)

// ShedNotRun is the only value of HeaderShed.
const ShedNotRun = "not-run"

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
