package choose

import (
	"time"

	"dandeliondoor/crash"
)

// Ask requests a server for one attempt of a request. Ticket names the attempt
// and is unique among those of its daemon. Left is the time until the request
// has to be answered. Exclude names servers that this daemon cannot use or that
// had the request before. Repeat says that a server had the request before, so
// that the attempt counts against the budget of second sends; Probe says that a
// failure could be repeated elsewhere. Content tells requests of the same caller,
// target and body apart from others, 0 for none.
type Ask struct {
	Daemon    string
	Ticket    uint64
	Route     string
	Zone      string
	Priority  int
	Objective time.Duration
	Left      time.Duration
	Exclude   []string
	Repeat    bool
	Probe     bool
	Content   crash.Fingerprint
}

// Decision is the answer to an ask.
type Decision interface{ isDecision() }

// Granted gives an attempt to a server.
//
// Patience is how long the answer may take before a request that can be repeated
// should be sent to a second server.
type Granted struct {
	Server   string
	Born     int64
	Patience time.Duration
}

// Refused gives no server; RetryAfter is when one may be free, 0 if that is not
// known.
type Refused struct {
	Reason     Reason
	RetryAfter time.Duration
}

var (
	_ Decision = Granted{}
	_ Decision = Refused{}
)

func (Granted) isDecision() {}

func (Refused) isDecision() {}

// Reason is why an ask was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonBudget   Reason = "retry_budget"
	ReasonCrashes  Reason = "crashes_servers"
	ReasonNoServer Reason = "no_server"
	ReasonOverload Reason = "overload"
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Served is a complete answer that is no server error.
	Served Outcome = iota
	// Failed is an answer with a server error, or one that cannot be used.
	Failed
	// ConnectionLost is a connection that ended without an answer after the request was
	// written.
	ConnectionLost
	// TimedOut is an answer that did not come in time.
	TimedOut
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Shed is a refusal by the server, which did not run the request.
	Shed
	// Misdirected is a refusal by another server at the address.
	Misdirected
	// Cancelled is an attempt that ended for the caller's sake and says nothing
	// of the server.
	Cancelled
)

// Release ends an attempt. Running and Waiting are the server's own count of
// requests, negative when it gave none.
type Release struct {
	Daemon   string
	Ticket   uint64
	Server   string
	Outcome  Outcome
	Duration time.Duration
	Running  int
	Waiting  int
}
