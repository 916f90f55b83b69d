package proto

import (
	"net/http"
	"time"
)

// Dialect reads and writes the headers that are exchanged between callers, daemons
// and upstreams.
type Dialect interface {
	// Key returns the API key of the caller's account, or an empty string.
	Key(header http.Header) string
	// RequestID returns the request ID that the caller set, or an empty string.
	RequestID(header http.Header) string
	// Deadline returns how long the caller waits for a response, and whether it set
	// a deadline.
	Deadline(header http.Header) (remaining time.Duration, given bool, err error)
	// SetRequestHeaders sets the remaining time, the intended upstream and the name of the
	// client account of a request; the name is empty if there is none. It removes the API
	// key, and an account that the caller named.
	SetRequestHeaders(header http.Header, remaining time.Duration, upstream, account string)
	// MatchesRequest reports whether a response belongs to the request with the ID;
	// first is set for the first response on its connection.
	MatchesRequest(header http.Header, id string, first bool) bool
	// ParseReport returns the information about an upstream that its response carries.
	ParseReport(status int, header http.Header) Report
}

// Report is the information about an upstream that its response carries. Signed
// means that the upstream's service generated the response, NotRun that the request
// did not run, and Misdirected that another upstream than the intended one now has
// the address. Running and Waiting are the numbers of requests that run and wait on
// the upstream, or negative if the response does not contain them. Leaving means that the
// upstream wants no further requests, and RetryAfter for how long it wants none from
// this daemon; the problems say what was wrong with the values of these headers.
type Report struct {
	Signed      bool
	NotRun      bool
	Misdirected bool
	Leaving     bool
	RetryAfter  time.Duration
	Running     int
	Waiting     int

	LeavingProblem    ValueProblem
	RetryAfterProblem ValueProblem
}

// ValueProblem is why the value of a header was ignored or bounded.
type ValueProblem string

// Values of ValueProblem. Endless and overlong periods are bounded, other values ignored.
const (
	ProblemNone       ValueProblem = ""
	ProblemEndless    ValueProblem = "endless"
	ProblemMalformed  ValueProblem = "malformed"
	ProblemNegative   ValueProblem = "negative"
	ProblemNoDate     ValueProblem = "no_date"
	ProblemNotANumber ValueProblem = "not_a_number"
	ProblemTooLong    ValueProblem = "too_long"
	ProblemUnknown    ValueProblem = "unknown_value"
)
