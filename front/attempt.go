package front

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/choose"
	"dandeliondoor/proto"
	"dandeliondoor/slots"
	"dandeliondoor/upconn"
)

// The age up to which a kept connection is used again. A server may have closed
// or forgotten one that was idle for longer, which costs a request that must not
// be repeated.
const (
	youngestUnsafe = 3 * time.Second
	youngestSafe   = 8 * time.Second
)

// result is how an attempt ended: with an answer, or with a failure that may
// hold an answer with a server error.
type result struct {
	lease    *slots.Lease
	answer   *answer
	failure  Failure
	failed   bool
	outcome  choose.Outcome
	err      error
	duration time.Duration
}

// answer is an answer of a server. Rest is what follows the kept part of a large
// body, nil when the body is whole; finish is called after it was read.
type answer struct {
	status int
	header http.Header
	length int64
	kept   []byte
	rest   io.Reader
	finish func(err error)
}

// attempt sends the request to the leased server and reads the answer.
func (h *Handler) attempt(ctx context.Context, e *exchange, lease *slots.Lease) result {
	began := time.Now()
	res := h.send(ctx, e, lease)
	res.lease = lease
	res.duration = time.Since(began)
	return res
}

func (h *Handler) send(ctx context.Context, e *exchange, lease *slots.Lease) result {
	target := upconn.Target{Address: lease.Server.Address, ID: lease.Server.ID, Born: lease.Server.Born}
	youngest := youngestUnsafe
	if e.route.Idempotent {
		youngest = youngestSafe
	}
	conn, err := h.conns.Get(ctx, target, youngest)
	if err != nil {
		h.release(lease, dialOutcome(ctx), 0, proto.Report{Running: -1})
		return result{failed: true, failure: NotSent, outcome: dialOutcome(ctx), err: err}
	}
	sent := time.Now()
	response, err := conn.Do(ctx, e.outgoing(h.dialect, lease.Server.ID))
	if err != nil {
		conn.Close()
		return h.broken(ctx, lease, err, time.Since(sent))
	}
	report := h.dialect.Read(response.StatusCode, response.Header)
	return h.receive(ctx, lease, conn, response, report, sent)
}

func dialOutcome(ctx context.Context) choose.Outcome {
	if ctx.Err() != nil {
		return choose.Cancelled
	}
	return choose.Unreachable
}

// broken judges a connection that failed before an answer began.
func (h *Handler) broken(ctx context.Context, lease *slots.Lease, err error, took time.Duration) result {
	res := result{failed: true, failure: Unknown, outcome: choose.Lost, err: err}
	var broke *upconn.BrokenError
	isBroken := errors.As(err, &broke)
	switch {
	case isBroken && !broke.Written:
		res.failure, res.outcome = NotSent, choose.Cancelled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		res.outcome = choose.TimedOut
	case ctx.Err() != nil:
		res.outcome = choose.Cancelled
	case isBroken && broke.Reused && errors.Is(broke.Err, io.EOF):
		// The server closed an idle connection while the request was on its way.
		res.outcome = choose.Cancelled
	}
	h.release(lease, res.outcome, took, proto.Report{Running: -1})
	return res
}

// receive keeps the answer's body, or its beginning if it is large.
func (h *Handler) receive(
	ctx context.Context, lease *slots.Lease, conn *upconn.Conn,
	response *http.Response, report proto.Report, sent time.Time,
) result {
	a := &answer{status: response.StatusCode, header: response.Header, length: response.ContentLength}
	kept, err := io.ReadAll(io.LimitReader(response.Body, maxBuffered))
	a.kept = kept
	if err != nil {
		conn.Close()
		return h.broken(ctx, lease, &upconn.BrokenError{Written: true, Err: err}, time.Since(sent))
	}
	res := judge(a, report)
	if len(kept) < maxBuffered {
		conn.Finish(response)
		h.conns.Put(conn)
		h.release(lease, res.outcome, time.Since(sent), report)
		return res
	}
	a.rest = response.Body
	var once sync.Once
	a.finish = func(err error) {
		once.Do(func() { h.finish(ctx, lease, conn, response, report, sent, res.outcome, err) })
	}
	return res
}

// finish ends an exchange whose answer was passed on while it was read.
func (h *Handler) finish(
	ctx context.Context, lease *slots.Lease, conn *upconn.Conn, response *http.Response,
	report proto.Report, sent time.Time, outcome choose.Outcome, err error,
) {
	switch {
	case err == nil:
		conn.Finish(response)
		h.conns.Put(conn)
	case ctx.Err() != nil:
		conn.Close()
		outcome = choose.Cancelled
	default:
		conn.Close()
		outcome = choose.Lost
	}
	h.release(lease, outcome, time.Since(sent), report)
}

// judge tells what an answer means for the request and for its server.
func judge(a *answer, report proto.Report) result {
	switch {
	case report.Elsewhere:
		return result{failed: true, failure: NotRun, outcome: choose.Gone}
	case report.NotRun && a.status != http.StatusBadRequest:
		return result{failed: true, failure: NotRun, outcome: choose.Shed}
	case promises(a.status), !report.Signed && a.status < 300:
		// To pass this on would promise what the server did not say.
		return result{failed: true, failure: Unknown, outcome: choose.Failed}
	case a.status == http.StatusGatewayTimeout:
		return result{answer: a, failed: true, failure: Answered, outcome: choose.TimedOut}
	case a.status >= http.StatusInternalServerError:
		return result{answer: a, failed: true, failure: Answered, outcome: choose.Failed}
	default:
		return result{answer: a, outcome: choose.Served}
	}
}

// promises reports whether a status says that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusMisdirectedRequest, http.StatusRequestTimeout,
		http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return true
	default:
		return false
	}
}

// release ends a lease with what was seen, and notes whether the path works.
func (h *Handler) release(lease *slots.Lease, outcome choose.Outcome, took time.Duration, report proto.Report) {
	h.notePath(lease.Server.ID, outcome)
	h.slots.Release(lease, choose.Release{
		Outcome: outcome, Duration: took, Running: report.Running, Waiting: report.Waiting,
	})
}
