package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/grant"
	"dandeliondoor/health"
	"dandeliondoor/retry"
)

// attempt is one transmission of a request to an upstream. respondedAt is when the
// response head was received or the attempt failed.
type attempt struct {
	lease       *grant.Lease
	startedAt   time.Time
	respondedAt time.Time
	response    *http.Response
	report      upstreamReport
}

// failedAttempt describes the failure of an attempt.
type failedAttempt struct {
	failure retry.Failure
	outcome health.Outcome
}

// send sends the request to the leased upstream and waits for the response head.
func (h *Handler) send(ctx context.Context, e *exchange, lease *grant.Lease) (*attempt, *failedAttempt) {
	a := &attempt{lease: lease, startedAt: time.Now(), report: upstreamReport{load: unknownLoad}}
	tracker := &writeTracker{}
	outgoing := e.upstreamRequest(tracker.trace(ctx), lease)
	transport := h.transports.get(lease.Upstream, h.members.Count())
	response, err := transport.RoundTrip(outgoing)
	a.respondedAt = time.Now()
	if err != nil {
		return a, classifyFailure(ctx, tracker)
	}
	a.response = response
	a.report = parseReport(response)
	if a.report.shed {
		return a, &failedAttempt{failure: retry.Shed{}, outcome: health.Shed}
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return a, &failedAttempt{failure: retry.ServerError{}, outcome: health.Failed}
	}
	return a, nil
}

// upstreamRequest returns the request to send to an upstream. Even an empty body is
// an opaqueReader, so that the HTTP transport never resends the request.
func (e *exchange) upstreamRequest(ctx context.Context, lease *grant.Lease) *http.Request {
	target := *e.request.URL
	target.Scheme = "http"
	target.Host = lease.Upstream.Address.String()
	outgoing := &http.Request{
		Method:        e.request.Method,
		URL:           &target,
		Host:          e.request.Host,
		Header:        upstreamHeaders(e.request, e.id, time.Until(e.deadline)),
		Body:          e.body.newReader(),
		ContentLength: e.body.length,
		Trailer:       e.request.Trailer,
		Close:         !lease.KeepConnection,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	return outgoing.WithContext(ctx)
}

// classifyFailure classifies an attempt that got no response. The request is known
// not to have run only if no byte of it was written to a connection.
func classifyFailure(ctx context.Context, tracker *writeTracker) *failedAttempt {
	cancelled := errors.Is(ctx.Err(), context.Canceled)
	switch {
	case !tracker.gotConn() && cancelled:
		return &failedAttempt{failure: retry.NotWritten{}, outcome: health.Cancelled}
	case !tracker.gotConn():
		return &failedAttempt{failure: retry.NotWritten{}, outcome: health.Unreachable}
	case !tracker.wroteAny():
		return &failedAttempt{failure: retry.NotWritten{}, outcome: health.Cancelled}
	case cancelled:
		return &failedAttempt{failure: retry.NoResponse{}, outcome: health.Cancelled}
	case ctx.Err() != nil:
		return &failedAttempt{failure: retry.NoResponse{}, outcome: health.TimedOut}
	default:
		return &failedAttempt{failure: retry.NoResponse{}, outcome: health.Lost}
	}
}
