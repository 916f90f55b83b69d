package grant

import (
	"time"

	"dandeliondoor/broker"
	"dandeliondoor/crash"
	"dandeliondoor/member"
	"dandeliondoor/model"
	"dandeliondoor/route"
)

// RefusedError reports a request for which there is no slot.
type RefusedError struct {
	Reason     broker.Reason
	RetryAfter time.Duration
}

// Error names the reason.
func (e *RefusedError) Error() string { return "refused: " + string(e.Reason) }

// Request is what an entry wants a slot for.
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

// Lease is the right to send one request to one upstream.
type Lease struct {
	Upstream       model.Upstream
	KeepConnection bool
	Brokered       bool
	Waited         time.Duration

	id    broker.GrantID
	pool  string
	class model.Class
	until time.Time
	// brokers count the lease: who granted it, and who was told of it later.
	brokers []member.Daemon
}
