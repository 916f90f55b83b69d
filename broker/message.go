package broker

import (
	"time"

	"dandeliondoor/crash"
	"dandeliondoor/health"
	"dandeliondoor/model"
)

// GrantID identifies an ask and the resulting grant. It is chosen by the entry, the
// daemon that serves the caller's request.
type GrantID struct {
	Entry string
	Seq   uint64
}

// Ask requests a slot for one request. Budget is the time left until the
// request's deadline. Avoid lists upstreams that the entry can't reach. Suspect
// marks the retry of a request whose upstream was lost. Redirected marks an ask that
// a sibling pool has redirected, which isn't redirected again. Limit and Session are
// set by the broker: Limit is the pool's part of the account's limit, or 0 for no
// limit, and Session is the connection over which the ask was received, or 0 for
// the broker's own daemon.
type Ask struct {
	ID          GrantID
	Route       string
	Class       model.Class
	Account     string
	Budget      time.Duration
	Repeatable  bool
	Avoid       []string
	Fingerprint crash.Fingerprint
	Suspect     bool
	Redirected  bool
	Limit       int
	Session     uint64
}

// Release ends a grant and reports the outcome observed by the entry. Latency is
// the time until the start of the response, Duration the time until its end. Load
// is the load reported by the upstream, from 0 to 1, or negative if it reported
// none. Draining and Warming report that the upstream said that it is draining or
// warming up.
type Release struct {
	ID       GrantID
	Outcome  health.Outcome
	Latency  time.Duration
	Duration time.Duration
	Load     float64
	Draining bool
	Warming  bool
}

// Hold reports a grant in use that was made by another broker, or by the same broker
// over a connection that was lost. Session is set by the broker that receives it.
type Hold struct {
	ID       GrantID
	Upstream string
	Class    model.Class
	Budget   time.Duration
	Session  uint64
}

// Hint reports a pool's free slots and expected wait to sibling pools.
type Hint struct {
	Pool string
	Free int
	Wait time.Duration
}

// Action is a decision of a pool.
type Action interface{ isAction() }

// Granted assigns a slot of an upstream to an ask. Keep reports whether the entry
// may keep its connection open afterwards.
type Granted struct {
	ID       GrantID
	Upstream string
	Keep     bool
}

// Refused rejects an ask.
type Refused struct {
	ID         GrantID
	Reason     Reason
	RetryAfter time.Duration
}

// Redirected sends an ask to a sibling pool that is less busy.
type Redirected struct {
	ID   GrantID
	Pool string
}

// HealthReported reports a verdict of the health tracker about an upstream.
type HealthReported struct{ Verdict health.Verdict }

// FingerprintReported reports the standing of a fingerprint to the other pools of
// the service.
type FingerprintReported struct {
	Fingerprint crash.Fingerprint
	Standing    crash.Standing
}

var (
	_ Action = Granted{}
	_ Action = Refused{}
	_ Action = Redirected{}
	_ Action = HealthReported{}
	_ Action = FingerprintReported{}
)

func (Granted) isAction()             {}
func (Refused) isAction()             {}
func (Redirected) isAction()          {}
func (HealthReported) isAction()      {}
func (FingerprintReported) isAction() {}

// Reason is why an ask was refused.
type Reason string

// Reasons for refusing an ask.
const (
	ReasonAccountLimit Reason = "account_limit"
	ReasonDeadline     Reason = "deadline"
	ReasonNoUpstream   Reason = "no_upstream"
	ReasonOverload     Reason = "overload"
	ReasonPoisonous    Reason = "poisonous_request"
)
