package slots

import (
	"time"

	"dandeliondoor/choose"
	"dandeliondoor/topo"
)

// The calls between daemons.
const (
	receiverName  = "Slots"
	askMethod     = "Slots.Ask"
	releaseMethod = "Slots.Release"
)

// AskRequest asks for a server of a pool.
type AskRequest struct {
	Pool PoolKey
	Ask  choose.Ask
}

// AskReply holds a decision, or says that the daemon cannot decide: it is
// stopping, or knows no server of the service.
type AskReply struct {
	Granted *choose.Granted
	Refused *choose.Refused
	Unable  bool
}

// ReleaseRequest ends an attempt.
type ReleaseRequest struct {
	Pool    PoolKey
	Release choose.Release
}

// Empty is the reply of calls that return nothing.
type Empty struct{}

// Lease is a server for one attempt. Broker is the daemon that gave it, empty
// for this one.
type Lease struct {
	Pool     PoolKey
	Server   topo.Server
	Ticket   uint64
	Broker   topo.Daemon
	Fallback bool
	Patience time.Duration
}

// RefusedError means that there is no server for an attempt.
type RefusedError struct{ choose.Refused }

// Error names the reason.
func (e *RefusedError) Error() string { return "no server: " + string(e.Reason) }
