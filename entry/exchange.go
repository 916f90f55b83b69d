package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/broker"
	"dandeliondoor/crash"
	"dandeliondoor/grant"
	"dandeliondoor/health"
	"dandeliondoor/httpd"
	"dandeliondoor/proto"
	"dandeliondoor/retry"
	"dandeliondoor/route"
)

// exchange is the state of one caller's request. suspect is set once a connection
// has failed after the request was sent, since the request may have crashed the
// upstream.
type exchange struct {
	id          string
	request     *http.Request
	target      route.Target
	body        *body
	deadline    time.Time
	fingerprint crash.Fingerprint
	history     retry.History
	suspect     bool
}

// forward sends the request to upstreams until one responds or no further attempt
// is allowed.
func (h *Handler) forward(ctx context.Context, w http.ResponseWriter, e *exchange) {
	for {
		lease, err := h.client.Acquire(ctx, h.slotRequest(e))
		if err != nil {
			h.respond(w, e, whileStopping(ctx, acquireErrorResponse(err, e.history.Outcome())))
			return
		}
		h.metrics.slotWaits.Observe(lease.Waited.Seconds())
		a, failed := h.send(ctx, e, lease)
		if failed == nil {
			h.streamResponse(ctx, w, e, a)
			return
		}
		if h.startRetry(ctx, e, a, failed) {
			continue
		}
		h.respondFailed(ctx, w, e, a, failed)
		return
	}
}

func (h *Handler) slotRequest(e *exchange) grant.Request {
	return grant.Request{
		Service:     e.target.Service,
		Route:       e.target.Route,
		Account:     e.request.Header.Get(proto.HeaderAccount),
		Deadline:    e.deadline,
		Repeatable:  e.history.Repeatable,
		Avoid:       h.unreachableUpstreams(e.target.Service),
		Fingerprint: e.fingerprint,
		Suspect:     e.suspect,
	}
}

// startRetry records a failed attempt and reports whether to make another one. In
// that case it releases the slot and waits for the broker to receive the outcome,
// so that the broker takes it into account when the next slot is requested.
func (h *Handler) startRetry(ctx context.Context, e *exchange, a *attempt, failed *failedAttempt) bool {
	e.history.RecordFailure(failed.failure)
	h.recordReachability(a.lease.Upstream.Name, failed.outcome)
	if failed.outcome == health.Lost {
		e.suspect = true
	}
	timeLeft := ctx.Err() == nil && time.Now().Before(e.deadline)
	if !timeLeft || !h.retryAllowed(e, failed) {
		return false
	}
	h.metrics.retries.Inc()
	closeBody(a.response)
	h.client.Release(ctx, a.lease, a.releaseMessage(failed.outcome, time.Now()), true)
	return true
}

func (h *Handler) retryAllowed(e *exchange, failed *failedAttempt) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return e.history.AllowRetry(failed.failure, e.body.resendable(), h.budget(e.target.Service.Name))
}

// respondFailed ends a request whose last attempt failed. It forwards an upstream's
// server error unchanged, and otherwise generates a response.
func (h *Handler) respondFailed(ctx context.Context, w http.ResponseWriter, e *exchange, a *attempt, failed *failedAttempt) {
	if _, isServerError := failed.failure.(retry.ServerError); isServerError {
		h.streamResponse(ctx, w, e, a)
		return
	}
	closeBody(a.response)
	h.client.Release(ctx, a.lease, a.releaseMessage(failed.outcome, time.Now()), false)
	h.respond(w, e, whileStopping(ctx, failureResponse(failed, e.history.Outcome())))
}

// closeBody closes the body of a response that isn't forwarded. The response may be
// nil.
func closeBody(response *http.Response) {
	if response != nil {
		_ = response.Body.Close()
	}
}

// releaseMessage returns the message that releases the attempt's slot and reports
// its outcome to the broker.
func (a *attempt) releaseMessage(outcome health.Outcome, endedAt time.Time) broker.Release {
	return broker.Release{
		Outcome:  outcome,
		Latency:  a.respondedAt.Sub(a.startedAt),
		Duration: endedAt.Sub(a.startedAt),
		Load:     a.report.load,
		Draining: a.report.draining,
		Warming:  a.report.warming,
	}
}

// streamResponse forwards an upstream's response to the caller. If the response is
// cut short, the caller's connection is aborted, so that the caller can't take it
// for complete.
func (h *Handler) streamResponse(ctx context.Context, w http.ResponseWriter, e *exchange, a *attempt) {
	response := a.response
	defer response.Body.Close()
	writeHead(w, e, response)
	readErr, writeErr := copyBody(w, response)
	endedAt := time.Now()
	outcome := streamOutcome(ctx, response, readErr, writeErr)
	h.client.Release(ctx, a.lease, a.releaseMessage(outcome, endedAt), false)
	h.metrics.countUpstreamResponse(e.target.Service.Name, response.StatusCode)
	if readErr != nil || writeErr != nil {
		h.log.WithField("request_id", e.id).WithField("upstream", a.lease.Upstream.Name).
			Debug("response was cut short; closing the caller's connection")
		panic(http.ErrAbortHandler)
	}
	writeTrailers(w, response)
	h.recordReachability(a.lease.Upstream.Name, health.Success)
	h.recordSuccess(e.target.Service)
}

// streamOutcome returns the outcome of an attempt whose response was forwarded. A
// failed write means that the caller has disconnected.
func streamOutcome(ctx context.Context, response *http.Response, readErr, writeErr error) health.Outcome {
	switch {
	case writeErr != nil:
		return health.Cancelled
	case readErr != nil && errors.Is(ctx.Err(), context.Canceled):
		return health.Cancelled
	case readErr != nil && ctx.Err() != nil:
		return health.TimedOut
	case readErr != nil:
		return health.Lost
	case response.StatusCode >= http.StatusInternalServerError:
		return health.Failed
	default:
		return health.Success
	}
}

func writeHead(w http.ResponseWriter, e *exchange, response *http.Response) {
	header := w.Header()
	for name, values := range httpd.EndToEndHeaders(response.Header) {
		header[name] = values
	}
	for _, name := range []string{proto.HeaderLoad, proto.HeaderDraining, proto.HeaderWarming, proto.HeaderShed} {
		header.Del(name)
	}
	header.Set(proto.HeaderRequestID, e.id)
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	w.WriteHeader(response.StatusCode)
}

func writeTrailers(w http.ResponseWriter, response *http.Response) {
	for name, values := range response.Trailer {
		for _, value := range values {
			w.Header().Add(name, value)
		}
	}
}

const copyBufferSize = 32 << 10

// copyBody copies the response body to the caller. It flushes a body of unknown
// length after each read.
func copyBody(w http.ResponseWriter, response *http.Response) (readErr, writeErr error) {
	controller := http.NewResponseController(w)
	buffer := make([]byte, copyBufferSize)
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 {
			if _, writeErr := w.Write(buffer[:count]); writeErr != nil {
				return nil, writeErr
			}
			if response.ContentLength < 0 {
				if writeErr := controller.Flush(); writeErr != nil {
					return nil, writeErr
				}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}
