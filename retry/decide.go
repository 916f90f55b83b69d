package retry

import "dandeliondoor/proto"

// MaxAttempts bounds the upstreams that one request is sent to.
const MaxAttempts = 4

// Failure is how an attempt ended without an answer for the caller.
type Failure interface{ isFailure() }

// NotWritten means that no byte of the request reached an upstream.
type NotWritten struct{}

// Shed means that the upstream refused the request in the documented way.
type Shed struct{}

// Answered means that the upstream answered with a server error.
type Answered struct{}

// Broken means that the request was written and no answer came, be it that the
// connection broke or that the time ran out.
type Broken struct{}

var (
	_ Failure = NotWritten{}
	_ Failure = Shed{}
	_ Failure = Answered{}
	_ Failure = Broken{}
)

func (NotWritten) isFailure() {}
func (Shed) isFailure()       {}
func (Answered) isFailure()   {}
func (Broken) isFailure()     {}

// History is what happened to one request so far.
type History struct {
	Repeatable bool
	Attempts   int
	MayHaveRun bool
}

// Note adds a failed attempt.
func (h *History) Note(failure Failure) {
	h.Attempts++
	switch failure.(type) {
	case Answered, Broken:
		h.MayHaveRun = true
	case NotWritten, Shed:
	}
}

// Again reports whether the request may be sent to another upstream. What was
// not written may always go elsewhere; what an upstream refused without running
// it may go elsewhere while the budget allows it, unless another one may have run
// it; and what may have run only when the request is repeatable too.
func (h *History) Again(failure Failure, bodyIntact bool, budget *Budget) bool {
	if h.Attempts >= MaxAttempts || !bodyIntact {
		return false
	}
	switch failure.(type) {
	case NotWritten:
		return true
	case Shed:
		return (h.Repeatable || !h.MayHaveRun) && budget.Take()
	case Answered, Broken:
		return h.Repeatable && budget.Take()
	default:
		return false
	}
}

// Outcome returns what the caller is told when no answer can be given.
func (h *History) Outcome() proto.Outcome {
	if h.MayHaveRun {
		return proto.OutcomeUnknown
	}
	return proto.OutcomeNotRun
}
