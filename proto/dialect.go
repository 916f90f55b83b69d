package proto

import (
	"net/http"
	"time"
)

// Dialect reads and writes the headers by which callers, the fleet and upstreams
// understand each other.
type Dialect interface {
	// RequestID returns the caller's name of a request, or nothing.
	RequestID(header http.Header) string
	// Deadline returns how long the caller waits, and whether it said so.
	Deadline(header http.Header) (left time.Duration, given bool, err error)
	// SetRequestHeaders sets how long an upstream may take, and which upstream is meant.
	SetRequestHeaders(header http.Header, left time.Duration, upstream string)
	// MatchesRequest reports whether an answer belongs to a request.
	MatchesRequest(header http.Header, id string) bool
	// ParseReport returns what an upstream says beside its answer.
	ParseReport(status int, header http.Header) Report
}

// Report is what an upstream says beside its answer. Signed means that its
// service made the answer; NotRun that the request did not run; Elsewhere that
// another upstream than the one that was meant has the address. Running and
// Waiting count its requests, negative when it gave no count.
type Report struct {
	Signed      bool
	NotRun      bool
	Misdirected bool
	Running     int
	Waiting     int
}
