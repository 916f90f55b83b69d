package grant

import (
	"dandeliondoor/broker"
	"dandeliondoor/crash"
)

// Names of the net/rpc calls between entries and brokers.
const (
	receiverName  = "Broker"
	askMethod     = "Broker.Ask"
	releaseMethod = "Broker.Release"
	cancelMethod  = "Broker.Cancel"
	handMethod    = "Broker.Hand"
	hintMethod    = "Broker.Hint"
	learnMethod   = "Broker.Learn"
)

// AskRequest sends an ask to the broker of a pool. Holds are the entry's
// leases that the broker does not know, sent after a change of broker or a lost
// connection. OutVersion is the version of the entry's list of ejected upstreams.
type AskRequest struct {
	Pool       string
	Ask        broker.Ask
	Holds      []broker.Hold
	OutVersion uint64
}

// AskReply is the decision on an ask. Exactly one of its pointers is set,
// or none if Leaving reports that this daemon no longer brokers the pool. Out
// lists the ejected upstreams if OutVersion differs from that of the request.
type AskReply struct {
	Granted    *broker.Granted
	Refused    *broker.Refused
	Redirected *broker.Redirected
	Leaving    bool
	OutVersion uint64
	Out        []string
}

// ReleaseRequest ends a grant.
type ReleaseRequest struct {
	Pool    string
	Release broker.Release
}

// CancelRequest withdraws an ask, or ends its grant, when the entry no longer waits
// for the decision.
type CancelRequest struct {
	Pool string
	ID   broker.GrantID
}

// HintRequest sends the load of another pool of the service to the broker of Pool.
type HintRequest struct {
	Pool string
	Hint broker.Hint
}

// LearnRequest sends the standing of a request fingerprint, learned in another
// pool of the service, to the broker of Pool.
type LearnRequest struct {
	Pool        string
	Fingerprint crash.Fingerprint
	Standing    crash.Standing
}

// HandRequest sends a pool's grants in use to its next broker.
type HandRequest struct {
	Pool  string
	Holds []broker.Hold
}

// Empty is a reply without content.
type Empty struct{ Done bool }
