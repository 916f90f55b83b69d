package choose

import (
	"time"

	"dandeliondoor/costs"
	"dandeliondoor/crash"
)

// Ask is a request for a server for one attempt. Ticket identifies the attempt
// and is unique within its daemon. Objective is the duration above which the
// response is late, and Left the time until the request's deadline. Exclude lists
// servers that the daemon cannot reach or that already had the request. Repeat
// marks a retry or hedged request, which counts against the retry budget. Probe
// means that the request can be retried on another server if this attempt fails.
// Identity holds the fingerprints of the request. Account is the name of the client
// account, empty without one, and Credited is set once an attempt of the request has
// taken the account's credit. Age is the time since the request arrived. Traits describe
// the request for the estimate of its cost. Cause tells retries and hedges apart; it is
// only set if asks are queued.
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
	Identity  crash.Identity
	Account   string
	Credited  bool
	Age       time.Duration
	Traits    costs.Traits
	Cause     Cause
}

// Decision is the result of an ask: Granted or Refused.
type Decision interface{ isDecision() }

// Granted assigns an attempt to a server. Born identifies the start of the
// server. Patience is the hedge delay: how long to wait for the response before a
// retryable request is also sent to a second server.
type Granted struct {
	Server   string
	Born     int64
	Patience time.Duration
}

// Refused means that no server is assigned. RetryAfter is the expected time until
// one is free, 0 if unknown.
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

// Reason is the cause of a refusal.
type Reason string

// The causes of a refusal.
const (
	ReasonBudget   Reason = "retry_budget"
	ReasonCrashes  Reason = "crashes_servers"
	ReasonNoServer Reason = "no_server"
	ReasonOverload Reason = "overload"
	// ReasonPending means that credit of the account is on its way to the broker.
	ReasonPending Reason = "credit_pending"
	// ReasonQuota means that the account has used its quota.
	ReasonQuota Reason = "quota"
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Served is a complete response without a server error.
	Served Outcome = iota
	// Failed is a server error or an unusable response.
	Failed
	// ConnectionLost is a connection that closed without a response after the
	// request was written.
	ConnectionLost
	// TimedOut is a response that did not arrive in time.
	TimedOut
	// Unreachable is a failure to connect.
	Unreachable
	// Shed is a refusal by an overloaded server, which did not run the request.
	Shed
	// Misdirected is a refusal by a different server at the same address.
	Misdirected
	// Cancelled is an attempt that ended on the caller's side and says nothing
	// about the server.
	Cancelled
)

// Loss is how the response of an attempt failed to arrive, for the search for requests
// that crash servers.
type Loss uint8

// The losses of an attempt.
const (
	// LossNone is a response, or a request that was not sent.
	LossNone Loss = iota
	// LossEnded is a connection that the server ended instead of a response.
	LossEnded
	// LossSilent is a request that may have run and got no complete response: it broke
	// off, or did not come until the attempt was given up.
	LossSilent
)

// Release reports the end of an attempt. Running and Waiting are the server's own
// counts of requests; Running is negative if it sent none. Born and Identity are those of
// the lease. ConnAge is the time since the connection was opened, 0 if there was none.
// Leaving means that the server wants no further requests.
type Release struct {
	Daemon   string
	Ticket   uint64
	Server   string
	Born     int64
	Identity crash.Identity
	Outcome  Outcome
	Loss     Loss
	Duration time.Duration
	ConnAge  time.Duration
	Leaving  bool
	Running  int
	Waiting  int
}
