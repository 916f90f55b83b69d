package front

import (
	"slices"
)

// maxTries bounds the attempts of one request, those that sent nothing
// included.
const maxTries = 6

// Failure is how an attempt ended without an answer that can be passed on.
type Failure uint8

// The ends of an attempt.
const (
	// NotSent means that no byte of the request reached a server.
	NotSent Failure = iota
	// NotRun means that a server refused the request and did not run it.
	NotRun
	// Answered means that a server Answered with an error of its own.
	Answered
	// Unknown means that the request was sent and no usable answer came.
	Unknown
)

// History is what happened to one request so far. Sends counts the servers that
// got it.
type History struct {
	idempotent bool
	attempts   int
	tries      int
	sends      int
	mayHaveRun bool
	tried      []string
}

// NewHistory returns the history of a request that was not sent yet; attempts
// bounds the servers that it may be sent to.
func NewHistory(idempotent bool, attempts int) *History {
	return &History{idempotent: idempotent, attempts: attempts}
}

// MayHaveRun reports whether a server may have run the request.
func (h *History) MayHaveRun() bool { return h.mayHaveRun }

// Began notes that a server is to get the request.
func (h *History) Began(server string) {
	h.tries++
	h.sends++
	h.tried = append(h.tried, server)
}

// Failed notes how an attempt ended.
func (h *History) Failed(how Failure) {
	switch how {
	case NotSent:
		h.sends--
	case Answered, Unknown:
		h.mayHaveRun = true
	case NotRun:
	}
}

// Again reports whether the request may be sent to another server after an
// attempt that ended so: what never ran may always go elsewhere, what may have
// run only if it is idempotent.
func (h *History) Again(how Failure) bool {
	if h.tries >= maxTries || h.sends >= h.attempts {
		return false
	}
	switch how {
	case NotSent, NotRun:
		return !h.mayHaveRun || h.idempotent
	case Answered, Unknown:
		return h.idempotent
	default:
		return false
	}
}

// exclude returns the servers that must not get the request: those that had it,
// and others that are given.
func (h *History) exclude(others []string) []string {
	return append(slices.Clone(h.tried), others...)
}
