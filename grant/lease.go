package grant

import (
	"time"

	"dandeliondoor/broker"
	"dandeliondoor/crash"
	"dandeliondoor/member"
	"dandeliondoor/model"
	"dandeliondoor/route"
)

// RefusedError reports that no slot was granted for a request. RetryAfter is the
// delay suggested to the caller.
type RefusedError struct {
	Reason     broker.Reason
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string { return "refused: " + string(e.Reason) }

// Request describes a request that needs a slot. Avoid names upstreams that the
// entry cannot reach; Suspect marks the retry of a request whose upstream was
// lost.
type Request struct {
	Service     *route.Service
	Route       model.Route
	Account     string
	Deadline    time.Time
	Repeatable  bool
	Avoid       []string
	Fingerprint crash.Fingerprint
	Suspect     bool
}

// Lease permits sending one request to one upstream. KeepConnection allows the
// entry to keep its connection to the upstream open afterwards. Brokered is false if
// the entry chose the upstream itself because no broker answered. Waited is the time
// that Acquire took.
type Lease struct {
	Upstream       model.Upstream
	KeepConnection bool
	Brokered       bool
	Waited         time.Duration

	id       broker.GrantID
	pool     string
	class    model.Class
	deadline time.Time
	// brokers are the daemons that count this lease and need its release: the one
	// that granted it and those that it was reported to later.
	brokers []member.Daemon
}
