package front

import (
	"slices"
)

// maxAttempts bounds the attempts of one request, including those that failed
// before anything was sent.
const maxAttempts = 6

// Failure classifies a failed attempt.
type Failure uint8

// The kinds of failed attempts.
const (
	// NotSent means that no byte of the request reached a server.
	NotSent Failure = iota
	// NotRun means that a server rejected the request without running it.
	NotRun
	// ErrorResponse means that a server responded with an error status.
	ErrorResponse
	// Unknown means that the request was sent and no usable response was received.
	Unknown
)

// History records the attempts of one request. Attempts counts all that were
// started; sends leaves out those that failed with NotSent.
type History struct {
	idempotent bool
	maxSends   int
	attempts   int
	sends      int
	mayHaveRun bool
	tried      []string
}

// NewHistory returns the history of a request that has not been sent yet;
// maxSends bounds the servers that it may be sent to.
func NewHistory(idempotent bool, maxSends int) *History {
	return &History{idempotent: idempotent, maxSends: maxSends}
}

// MayHaveRun reports whether a server may have run the request.
func (h *History) MayHaveRun() bool { return h.mayHaveRun }

// RecordAttempt records the start of an attempt on a server.
func (h *History) RecordAttempt(server string) {
	h.attempts++
	h.sends++
	h.tried = append(h.tried, server)
}

// RecordFailure records how an attempt failed.
func (h *History) RecordFailure(failure Failure) {
	switch failure {
	case NotSent:
		h.sends--
	case ErrorResponse, Unknown:
		h.mayHaveRun = true
	case NotRun:
	}
}

// MayRetry reports whether the request may be sent to another server after such
// a failure: one that has not run on any server may always be retried, one that
// may have run only if it is idempotent.
func (h *History) MayRetry(failure Failure) bool {
	if h.attempts >= maxAttempts || h.sends >= h.maxSends {
		return false
	}
	switch failure {
	case NotSent, NotRun:
		return !h.mayHaveRun || h.idempotent
	case ErrorResponse, Unknown:
		return h.idempotent
	default:
		return false
	}
}

// excluded returns the servers that the request must not be sent to: those
// already tried and the given ones.
func (h *History) excluded(others []string) []string {
	return append(slices.Clone(h.tried), others...)
}
