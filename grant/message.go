package grant

import (
	"dandeliondoor/broker"
	"dandeliondoor/crash"
)

// The calls between entries and brokers.
const (
	receiverName  = "Broker"
	askMethod     = "Broker.Ask"
	releaseMethod = "Broker.Release"
	cancelMethod  = "Broker.Cancel"
	handMethod    = "Broker.Hand"
	hintMethod    = "Broker.Hint"
	learnMethod   = "Broker.Learn"
)

// AskRequest asks the broker of a pool. Holds are the grants of an earlier
// broker, sent to a new one. OutVersion is the last list of upstreams out of
// use that the entry has.
type AskRequest struct {
	Pool       string
	Ask        broker.Ask
	Holds      []broker.Hold
	OutVersion uint64
}

// AskReply is the decision on an ask; exactly one of its pointers is set, or
// none when Leaving says that this daemon hands its pools over. Out lists the
// upstreams out of use when OutVersion is new.
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

// CancelRequest ends an ask that nobody waits for.
type CancelRequest struct {
	Pool string
	ID   broker.GrantID
}

// HintRequest tells the broker of a sibling pool how busy another pool is.
type HintRequest struct {
	Pool string
	Hint broker.Hint
}

// LearnRequest tells the broker of a sibling pool of a fingerprint.
type LearnRequest struct {
	Pool        string
	Fingerprint crash.Fingerprint
	Standing    crash.Standing
}

// HandRequest hands a pool's grants in use to its next broker.
type HandRequest struct {
	Pool  string
	Holds []broker.Hold
}

// Empty is an answer without content.
type Empty struct{ Done bool }
