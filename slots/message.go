package slots

import (
	"time"

	"dandeliondoor/choose"
	"dandeliondoor/crash"
	"dandeliondoor/topo"
)

// Names of the net/rpc receiver and methods.
const (
	receiverName  = "Slots"
	askMethod     = "Slots.Ask"
	awaitMethod   = "Slots.Await"
	cancelMethod  = "Slots.Cancel"
	releaseMethod = "Slots.Release"
	crashMethod   = "Slots.Crash"
	creditMethod  = "Slots.ReturnCredit"
	presentMethod = "Slots.Present"
)

// AskRequest is a request for a server of a pool. Wait means that the asking daemon can
// wait for the decision. FirstTicket is the first ticket of its process, 0 if it does not
// show that it lives while its attempts run.
type AskRequest struct {
	Pool        PoolKey
	Ask         choose.Ask
	Wait        bool
	FirstTicket uint64
}

// TicketRequest refers to the queued ask of a daemon with a ticket.
type TicketRequest struct {
	Pool   PoolKey
	Daemon string
	Ticket uint64
}

// AskReply is the reply to an AskRequest, and to the wait for its decision: a decision, or
// Unable if the daemon cannot decide because it is draining or knows no server of the
// service. Queued is only the reply to an AskRequest that waits.
type AskReply struct {
	Granted *choose.Granted
	Refused *choose.Refused
	Queued  *choose.Queued
	Unable  bool
}

// ReleaseRequest reports the end of an attempt. FirstTicket is that of an AskRequest.
type ReleaseRequest struct {
	Pool        PoolKey
	Release     choose.Release
	FirstTicket uint64
}

// PresenceRequest shows over a connection that a daemon lives whose attempts run. FirstTicket
// is that of an AskRequest.
type PresenceRequest struct {
	Daemon      string
	FirstTicket uint64
}

// CreditReturn gives back the token of a request of an account that has not run. Age is the
// time since the server was assigned.
type CreditReturn struct {
	Account string
	Age     time.Duration
}

// Empty is the reply of calls that return nothing.
type Empty struct{}

// Lease is a server assigned to one attempt. Broker is the remote daemon that
// granted it, empty if this daemon did. Fallback means that the local fallback
// broker granted it. Patience is the delay after which to hedge the request. GrantedAt is
// when the grant arrived.
type Lease struct {
	Pool     PoolKey
	Server   topo.Server
	Identity crash.Identity
	Ticket   uint64
	Broker   topo.Daemon
	Fallback bool
	Patience time.Duration

	GrantedAt time.Time
	// unhold ends the hold of the connection to the broker.
	unhold func()
}

// RefusedError means that no server was assigned to an attempt.
type RefusedError struct{ choose.Refused }

// Error returns the reason.
func (e *RefusedError) Error() string { return "no server: " + string(e.Reason) }
