package retry

import "dandeliondoor/proto"

// MaxAttempts is the maximum number of upstreams that one request is sent to.
const MaxAttempts = 4

// Failure is the way in which an attempt failed.
type Failure interface{ isFailure() }

// NotWritten means that no byte of the request reached an upstream.
type NotWritten struct{}

// Shed means that the upstream refused the request in the documented way for
// shedding load, without running it.
type Shed struct{}

// ServerError means that the upstream responded with a server error.
type ServerError struct{}

// NoResponse means that the request was written but no response arrived, because
// the connection broke or the deadline expired.
type NoResponse struct{}

var (
	_ Failure = NotWritten{}
	_ Failure = Shed{}
	_ Failure = ServerError{}
	_ Failure = NoResponse{}
)

func (NotWritten) isFailure()  {}
func (Shed) isFailure()        {}
func (ServerError) isFailure() {}
func (NoResponse) isFailure()  {}

// History is the record of the failed attempts of one request. Repeatable is set if
// the request may run more than once, MayHaveRun if an upstream may have run it.
type History struct {
	Repeatable bool
	Attempts   int
	MayHaveRun bool
}

// RecordFailure records a failed attempt.
func (h *History) RecordFailure(failure Failure) {
	h.Attempts++
	switch failure.(type) {
	case ServerError, NoResponse:
		h.MayHaveRun = true
	case NotWritten, Shed:
	}
}

// AllowRetry reports whether the request may be sent to another upstream, and takes
// a retry from the budget when one is needed. After MaxAttempts, or when the body
// isn't intact, no retry is allowed. Otherwise:
//   - After NotWritten, a retry is always allowed.
//   - After Shed, a retry is allowed within the budget, unless the request isn't
//     repeatable and another upstream may have run it.
//   - After ServerError or NoResponse, the upstream may have run the request, and
//     a retry is allowed within the budget only if the request is repeatable.
func (h *History) AllowRetry(failure Failure, bodyIntact bool, budget *Budget) bool {
	if h.Attempts >= MaxAttempts || !bodyIntact {
		return false
	}
	switch failure.(type) {
	case NotWritten:
		return true
	case Shed:
		return (h.Repeatable || !h.MayHaveRun) && budget.Take()
	case ServerError, NoResponse:
		return h.Repeatable && budget.Take()
	default:
		return false
	}
}

// Outcome returns the outcome reported to the caller when there is no response to
// pass on.
func (h *History) Outcome() proto.Outcome {
	if h.MayHaveRun {
		return proto.OutcomeUnknown
	}
	return proto.OutcomeNotRun
}
