package front

import (
	"slices"
)

// maxTries bounds the attempts of one request, those that sent nothing
// included.
const maxTries = 6

// failure is how an attempt ended without an answer that can be passed on.
type failure uint8

const (
	// notSent means that no byte of the request reached a server.
	notSent failure = iota
	// notRun means that a server refused the request and did not run it.
	notRun
	// answered means that a server answered with an error of its own.
	answered
	// unknown means that the request was sent and no usable answer came.
	unknown
)

// history is what happened to one request so far. Sends counts the servers that
// got it.
type history struct {
	idempotent bool
	attempts   int
	tries      int
	sends      int
	mayHaveRun bool
	tried      []string
}

// began notes that a server is to get the request.
func (h *history) began(server string) {
	h.tries++
	h.sends++
	h.tried = append(h.tried, server)
}

// failed notes how an attempt ended.
func (h *history) failed(how failure) {
	switch how {
	case notSent:
		h.sends--
	case answered, unknown:
		h.mayHaveRun = true
	case notRun:
	}
}

// again reports whether the request may be sent to another server after an
// attempt that ended so: what never ran may always go elsewhere, what may have
// run only if it is idempotent.
func (h *history) again(how failure) bool {
	if h.tries >= maxTries || h.sends >= h.attempts {
		return false
	}
	switch how {
	case notSent, notRun:
		return !h.mayHaveRun || h.idempotent
	case answered, unknown:
		return h.idempotent
	default:
		return false
	}
}

// exclude returns the servers that must not get the request: those that had it,
// and others that are given.
func (h *history) exclude(others []string) []string {
	return append(slices.Clone(h.tried), others...)
}
