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

// exchange is one request of a caller on its way.
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

// run sends the request until an upstream answers or no more may be tried.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, e *exchange) {
	for {
		lease, err := h.client.Acquire(ctx, h.slotRequest(e))
		if err != nil {
			h.answer(w, e, refusal(err, e.history.Outcome()))
			return
		}
		h.metrics.waits.Observe(lease.Waited.Seconds())
		a, failed := h.send(ctx, e, lease)
		if failed == nil {
			h.stream(ctx, w, e, a)
			return
		}
		if h.tryAgain(ctx, e, a, failed) {
			continue
		}
		h.giveUp(ctx, w, e, a, failed)
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
		Avoid:       h.avoided(e.target.Service),
		Fingerprint: e.fingerprint,
		Suspect:     e.suspect,
	}
}

// tryAgain ends a failed attempt and reports whether another one follows. Its
// evidence reaches the broker before the next ask.
func (h *Handler) tryAgain(ctx context.Context, e *exchange, a *attempt, failed *failedAttempt) bool {
	e.history.Note(failed.failure)
	h.notePath(a.lease.Upstream.Name, failed.outcome)
	if failed.outcome == health.Lost {
		e.suspect = true
	}
	timeLeft := ctx.Err() == nil && time.Now().Before(e.deadline)
	if !timeLeft || !h.mayRetry(e, failed) {
		return false
	}
	h.metrics.retries.Inc()
	discard(a.response)
	h.client.Release(ctx, a.lease, a.release(failed.outcome, time.Now()), true)
	return true
}

func (h *Handler) mayRetry(e *exchange, failed *failedAttempt) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return e.history.Again(failed.failure, e.body.intact(), h.budget(e.target.Service.Name))
}

// giveUp passes a server error on as it is, and answers itself when there is
// none.
func (h *Handler) giveUp(ctx context.Context, w http.ResponseWriter, e *exchange, a *attempt, failed *failedAttempt) {
	if _, answered := failed.failure.(retry.Answered); answered {
		h.stream(ctx, w, e, a)
		return
	}
	discard(a.response)
	h.client.Release(ctx, a.lease, a.release(failed.outcome, time.Now()), false)
	h.answer(w, e, noAnswer(failed, e.history.Outcome()))
}

// discard drops an answer that no caller sees.
func discard(response *http.Response) {
	if response != nil {
		_ = response.Body.Close()
	}
}

// release returns what the broker is told of an attempt.
func (a *attempt) release(outcome health.Outcome, ended time.Time) broker.Release {
	return broker.Release{
		Outcome:  outcome,
		Latency:  a.answered.Sub(a.began),
		Duration: ended.Sub(a.began),
		Load:     a.said.load,
		Draining: a.said.draining,
		Warming:  a.said.warming,
	}
}

// stream passes an answer on. An answer that breaks off is broken off for the
// caller too, never ended as if it were complete.
func (h *Handler) stream(ctx context.Context, w http.ResponseWriter, e *exchange, a *attempt) {
	response := a.response
	defer response.Body.Close()
	writeHead(w, e, response)
	readErr, writeErr := copyBody(w, response)
	ended := time.Now()
	outcome := outcomeOfStream(ctx, response, readErr, writeErr)
	h.client.Release(ctx, a.lease, a.release(outcome, ended), false)
	h.metrics.count(e.target.Service.Name, response.StatusCode)
	if readErr != nil || writeErr != nil {
		h.log.WithField("request_id", e.id).WithField("upstream", a.lease.Upstream.Name).
			Debug("answer broke off; closing the caller's connection")
		panic(http.ErrAbortHandler)
	}
	writeTrailers(w, response)
	h.notePath(a.lease.Upstream.Name, health.Success)
	h.noteSuccess(e.target.Service)
}

func outcomeOfStream(ctx context.Context, response *http.Response, readErr, writeErr error) health.Outcome {
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

// copyBufferSize is the size of the pieces in which an answer is passed on.
const copyBufferSize = 32 << 10

// copyBody passes the body on piece by piece; an answer of unknown length is
// flushed after each.
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
