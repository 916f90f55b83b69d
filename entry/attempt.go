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

// attempt is one try of a request on one upstream.
type attempt struct {
	lease    *grant.Lease
	began    time.Time
	answered time.Time
	response *http.Response
	said     report
}

// failedAttempt is an attempt without an answer for the caller.
type failedAttempt struct {
	failure retry.Failure
	outcome health.Outcome
}

// send writes the request to the leased upstream and waits for the head of the
// answer.
func (h *Handler) send(ctx context.Context, e *exchange, lease *grant.Lease) (*attempt, *failedAttempt) {
	a := &attempt{lease: lease, began: time.Now(), said: report{load: unknownLoad}}
	watch := &writeWatch{}
	outgoing := e.outgoing(watch.trace(ctx), lease)
	transport := h.transports.of(lease.Upstream, h.members.Count())
	response, err := transport.RoundTrip(outgoing)
	a.answered = time.Now()
	if err != nil {
		return a, classify(ctx, watch)
	}
	a.response = response
	a.said = reportOf(response)
	if a.said.shed {
		return a, &failedAttempt{failure: retry.Shed{}, outcome: health.Shed}
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return a, &failedAttempt{failure: retry.Answered{}, outcome: health.Failed}
	}
	return a, nil
}

// outgoing returns the request as an upstream receives it. Its body is opaque
// even when empty, so that the transport never sends it twice.
func (e *exchange) outgoing(ctx context.Context, lease *grant.Lease) *http.Request {
	target := *e.request.URL
	target.Scheme = "http"
	target.Host = lease.Upstream.Address.String()
	outgoing := &http.Request{
		Method:        e.request.Method,
		URL:           &target,
		Host:          e.request.Host,
		Header:        requestHeaders(e.request, e.id, time.Until(e.deadline)),
		Body:          e.body.open(),
		ContentLength: e.body.length,
		Trailer:       e.request.Trailer,
		Close:         !lease.KeepConnection,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	return outgoing.WithContext(ctx)
}

// classify tells how a request without an answer ended. Only a connection that
// never carried a byte of it proves that it did not run.
func classify(ctx context.Context, watch *writeWatch) *failedAttempt {
	cancelled := errors.Is(ctx.Err(), context.Canceled)
	switch {
	case !watch.connected() && cancelled:
		return &failedAttempt{failure: retry.NotWritten{}, outcome: health.Cancelled}
	case !watch.connected():
		return &failedAttempt{failure: retry.NotWritten{}, outcome: health.Unreachable}
	case !watch.wrote():
		return &failedAttempt{failure: retry.NotWritten{}, outcome: health.Cancelled}
	case cancelled:
		return &failedAttempt{failure: retry.Broken{}, outcome: health.Cancelled}
	case ctx.Err() != nil:
		return &failedAttempt{failure: retry.Broken{}, outcome: health.TimedOut}
	default:
		return &failedAttempt{failure: retry.Broken{}, outcome: health.Lost}
	}
}
