package broker

import (
	"time"

	"dandeliondoor/crash"
	"dandeliondoor/health"
	"dandeliondoor/model"
)

// GrantID names an ask and the grant that answers it; the entry chooses it.
type GrantID struct {
	Entry string
	Seq   uint64
}

// Ask requests a slot for one request. Budget is the time left until its
// deadline; Avoid names upstreams that the entry cannot reach; Suspect marks
// the retry of a request whose upstream was lost. The broker itself sets Limit,
// the pool's part of the account's limit, 0 for none, and Session, the
// connection that the ask came over, 0 for the broker's own daemon.
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

// Release ends a grant with what the entry saw. Latency is the time until the
// answer began, Duration the time until it ended. Load is the upstream's own
// report from 0 to 1, or negative when it gave none.
type Release struct {
	ID       GrantID
	Outcome  health.Outcome
	Latency  time.Duration
	Duration time.Duration
	Load     float64
	Draining bool
	Warming  bool
}

// Hold tells a broker of a grant that another one gave, or that it gave itself
// over a connection that was lost. The broker itself sets Session.
type Hold struct {
	ID       GrantID
	Upstream string
	Class    model.Class
	Budget   time.Duration
	Session  uint64
}

// Hint tells a sibling pool's broker how busy this pool is.
type Hint struct {
	Pool string
	Free int
	Wait time.Duration
}

// Action is a decision of a pool.
type Action interface{ isAction() }

// Granted gives an ask a slot of an upstream. Keep says that the entry may
// keep its connection open afterwards.
type Granted struct {
	ID       GrantID
	Upstream string
	Keep     bool
}

// Refused ends an ask without a slot.
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

// Judged passes on a verdict about an upstream.
type Judged struct{ Verdict health.Verdict }

// Shared tells the other pools of the service about a fingerprint.
type Shared struct {
	Fingerprint crash.Fingerprint
	Standing    crash.Standing
}

var (
	_ Action = Granted{}
	_ Action = Refused{}
	_ Action = Redirected{}
	_ Action = Judged{}
	_ Action = Shared{}
)

func (Granted) isAction()    {}
func (Refused) isAction()    {}
func (Redirected) isAction() {}
func (Judged) isAction()     {}
func (Shared) isAction()     {}

// Reason is why an ask was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonAccountLimit Reason = "account_limit"
	ReasonDeadline     Reason = "deadline"
	ReasonNoUpstream   Reason = "no_upstream"
	ReasonOverload     Reason = "overload"
	ReasonPoisonous    Reason = "poisonous_request"
)
