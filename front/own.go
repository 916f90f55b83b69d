package front

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"dandeliondoor/proto"
)

// reason is why the fleet answers a request itself.
type reason string

const (
	reasonBadDeadline reason = "bad_deadline"
	reasonBadFraming  reason = "bad_framing"
	reasonBodyBroken  reason = "request_body_broken"
	reasonBodyLarge   reason = "request_body_too_large"
	reasonDeadline    reason = "deadline"
	reasonHeadLarge   reason = "request_head_too_large"
	reasonLeaving     reason = "daemon_is_stopping"
	reasonNoAnswer    reason = "no_answer"
	reasonNoID        reason = "no_request_id"
	reasonNoRoute     reason = "no_route"
	reasonNoServer    reason = "no_server"
	reasonNotReady    reason = "no_configuration"
	reasonServersShed reason = "servers_shed"
)

// ownAnswer is an answer that the fleet gives itself.
type ownAnswer struct {
	status     int
	reason     reason
	retryAfter time.Duration
}

// outcome returns what the answer says of the request.
func (o ownAnswer) outcome() proto.Outcome {
	if o.status == http.StatusBadGateway || o.status == http.StatusGatewayTimeout {
		return proto.OutcomeUnknown
	}
	return proto.OutcomeNotRun
}

// write sends the answer.
func (o ownAnswer) write(w http.ResponseWriter, id string) error {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set(proto.HeaderReason, string(o.reason))
	if id != "" {
		header.Set(proto.HeaderRequestID, id)
	}
	if o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests {
		header.Set("Retry-After", strconv.FormatFloat(o.retryAfter.Seconds(), 'f', 2, 64))
	}
	w.WriteHeader(o.status)
	_, err := io.WriteString(w, string(o.outcome())+": "+string(o.reason)+"\n")
	return err
}
