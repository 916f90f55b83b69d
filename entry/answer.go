package entry

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/broker"
	"dandeliondoor/grant"
	"dandeliondoor/health"
	"dandeliondoor/proto"
)

// Reason is why the system answers a request itself.
type Reason string

// The reasons of the system's own answers beside those of brokers.
const (
	ReasonBadDeadline   Reason = "bad_deadline"
	ReasonBadFraming    Reason = "bad_framing"
	ReasonBodyBroken    Reason = "request_body_broken"
	ReasonDeadline      Reason = "deadline"
	ReasonNoAnswer      Reason = "no_answer"
	ReasonNoRoute       Reason = "no_route"
	ReasonNotReady      Reason = "not_ready"
	ReasonUpstreamsShed Reason = "upstreams_shed"
	ReasonUnreachable   Reason = "upstreams_unreachable"
)

var errBadDeadline = errors.New("deadline header is not a count of milliseconds")

// ownAnswer is an answer that the system gives itself.
type ownAnswer struct {
	status     int
	outcome    proto.Outcome
	reason     Reason
	retryAfter time.Duration
}

// write sends the answer.
func (o ownAnswer) write(w http.ResponseWriter, requestID string) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set(proto.HeaderOutcome, string(o.outcome))
	header.Set(proto.HeaderReason, string(o.reason))
	header.Set(proto.HeaderRequestID, requestID)
	if o.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(o.retryAfter.Seconds()))))
	}
	w.WriteHeader(o.status)
	_, _ = io.WriteString(w, string(o.outcome)+": "+string(o.reason)+"\n")
}

// refusal returns the answer for a request without a lease.
func refusal(err error, outcome proto.Outcome) ownAnswer {
	var refused *grant.RefusedError
	if !errors.As(err, &refused) {
		return ownAnswer{status: http.StatusGatewayTimeout, outcome: outcome, reason: ReasonDeadline}
	}
	answer := ownAnswer{
		status:     http.StatusServiceUnavailable,
		outcome:    outcome,
		reason:     Reason(refused.Reason),
		retryAfter: refused.RetryAfter,
	}
	if refused.Reason == broker.ReasonAccountLimit {
		answer.status = http.StatusTooManyRequests
	}
	return answer
}

// noAnswer returns the answer for a request whose last attempt failed.
func noAnswer(failed *failedAttempt, outcome proto.Outcome) ownAnswer {
	answer := ownAnswer{status: http.StatusBadGateway, outcome: outcome, reason: ReasonNoAnswer}
	switch failed.outcome {
	case health.TimedOut:
		answer.status = http.StatusGatewayTimeout
		answer.reason = ReasonDeadline
	case health.Shed:
		answer.status = http.StatusServiceUnavailable
		answer.reason = ReasonUpstreamsShed
		answer.retryAfter = time.Second
	case health.Unreachable:
		answer.reason = ReasonUnreachable
		answer.retryAfter = time.Second
	case health.Success, health.Failed, health.Lost, health.Cancelled:
	}
	return answer
}
