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

// Reason is why the daemon responds to a request itself. Its values are sent to
// callers.
type Reason string

// Reasons that entry itself sets. A refusal by a broker is passed on with the
// broker's own reason.
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

var errBadDeadline = errors.New("deadline header is not a positive number of milliseconds")

// localResponse is a response that the daemon generates instead of passing on an
// upstream's.
type localResponse struct {
	status     int
	outcome    proto.Outcome
	reason     Reason
	retryAfter time.Duration
}

// write sends the response to the caller.
func (l localResponse) write(w http.ResponseWriter, requestID string) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set(proto.HeaderOutcome, string(l.outcome))
	header.Set(proto.HeaderReason, string(l.reason))
	header.Set(proto.HeaderRequestID, requestID)
	if l.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(l.retryAfter.Seconds()))))
	}
	w.WriteHeader(l.status)
	_, _ = io.WriteString(w, string(l.outcome)+": "+string(l.reason)+"\n")
}

// acquireErrorResponse returns the response to a request for which no slot could be
// acquired.
func acquireErrorResponse(err error, outcome proto.Outcome) localResponse {
	var refused *grant.RefusedError
	if !errors.As(err, &refused) {
		return localResponse{status: http.StatusGatewayTimeout, outcome: outcome, reason: ReasonDeadline}
	}
	response := localResponse{
		status:     http.StatusServiceUnavailable,
		outcome:    outcome,
		reason:     Reason(refused.Reason),
		retryAfter: refused.RetryAfter,
	}
	if refused.Reason == broker.ReasonAccountLimit {
		response.status = http.StatusTooManyRequests
	}
	return response
}

// failureResponse returns the response to a request whose last attempt failed.
func failureResponse(failed *failedAttempt, outcome proto.Outcome) localResponse {
	response := localResponse{status: http.StatusBadGateway, outcome: outcome, reason: ReasonNoAnswer}
	switch failed.outcome {
	case health.TimedOut:
		response.status = http.StatusGatewayTimeout
		response.reason = ReasonDeadline
	case health.Shed:
		response.status = http.StatusServiceUnavailable
		response.reason = ReasonUpstreamsShed
		response.retryAfter = time.Second
	case health.Unreachable:
		response.reason = ReasonUnreachable
		response.retryAfter = time.Second
	case health.Success, health.Failed, health.Lost, health.Cancelled:
	}
	return response
}
