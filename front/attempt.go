package front

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/choose"
	"dandeliondoor/kernel"
	"dandeliondoor/proto"
	"dandeliondoor/quota"
	"dandeliondoor/slots"
	"dandeliondoor/upconn"
)

// The idle time up to which a pooled connection is reused. A server may have
// closed or dropped one that was idle for longer, and a request that fails on it
// cannot be retried unless it is idempotent.
const (
	maxIdleTimeUnsafe     = 3 * time.Second
	maxIdleTimeIdempotent = 8 * time.Second
)

const (
	// maxAhead bounds what is read of a response ahead of its caller, beyond maxBuffered
	// bytes. The largest downloads known have 540 KB.
	maxAhead = 768 << 10
	// holdBackDivisor is the divisor of the objective of a download that gives the time until
	// which its response is held back. The rest is left for sending it.
	holdBackDivisor = 2
)

// errDropped is the cause of the end of a response that isn't used any more.
var errDropped = errors.New("response is not used any more")

// attemptResult is the result of an attempt: a response, or a failure, which has
// a response if the server sent an error status. Withheld is set if the server was found
// to want no requests, before any of the body was read.
type attemptResult struct {
	lease    *slots.Lease
	response *serverResponse
	failure  Failure
	failed   bool
	withheld bool
	outcome  choose.Outcome
	err      error
	duration time.Duration
}

// serverResponse is the response of a server. Rest is the remainder of a body that is
// larger than the buffer and is nil if the body is buffered whole; finish must be called
// after rest has been read, or if it is abandoned. Release must be called when buffered
// isn't needed any more.
type serverResponse struct {
	status   int
	header   http.Header
	length   int64
	buffered []byte
	release  func()
	rest     *quota.Stream
	finish   func()
}

// attempt sends the request to the leased server and reads the response.
func (h *Handler) attempt(ctx context.Context, e *exchange, lease *slots.Lease) attemptResult {
	started := time.Now()
	res := h.send(ctx, e, lease)
	res.lease = lease
	res.duration = time.Since(started)
	return res
}

func (h *Handler) send(ctx context.Context, e *exchange, lease *slots.Lease) attemptResult {
	target := upconn.Target{Address: lease.Server.Address, ID: lease.Server.ID, StartTime: lease.Server.Born}
	maxIdleTime := maxIdleTimeUnsafe
	if e.route.Idempotent {
		maxIdleTime = maxIdleTimeIdempotent
	}
	conn, err := h.conns.Get(ctx, target, maxIdleTime)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			h.held.recordEnd(time.Now(), lease.Server)
		}
		h.release(lease, choose.Release{Outcome: dialOutcome(ctx)}, proto.Report{Running: -1})
		return attemptResult{failed: true, failure: NotSent, outcome: dialOutcome(ctx), err: err}
	}
	if !h.mayBegin(e) {
		conn.Close()
		h.release(lease, choose.Release{Outcome: choose.Cancelled}, proto.Report{Running: -1})
		return attemptResult{failed: true, failure: NotSent, outcome: choose.Cancelled, err: errStopping}
	}
	if h.held.isHeld(time.Now(), lease.Server) {
		h.metrics.withheld.Inc()
		conn.Close()
		h.release(lease, choose.Release{Outcome: choose.Cancelled}, proto.Report{Running: -1})
		return attemptResult{failed: true, failure: NotSent, withheld: true, outcome: choose.Cancelled, err: errHeld}
	}
	// A response that is streamed ends this context when it isn't used any more, the others
	// leave that to the end of the request.
	ctx, cancel := context.WithCancelCause(ctx)
	sent := time.Now()
	leaving := false
	request := e.outgoing(h.dialect, lease.Server.ID, h.currentStop().ServerDeadline(e.deadline))
	request.Informational = func(status int, header http.Header) {
		leaving = h.parseReport(e, lease, conn, status, header).Leaving || leaving
	}
	httpResponse, err := conn.Do(ctx, request)
	if err != nil {
		conn.Close()
		res := h.connectionFailed(ctx, lease, err, time.Since(sent), leaving)
		cancel(err)
		return res
	}
	report := h.parseReport(e, lease, conn, httpResponse.StatusCode, httpResponse.Header)
	report.Leaving = report.Leaving || leaving
	return h.receive(ctx, cancel, e, lease, conn, httpResponse, report, sent)
}

// parseReport returns the report in a response to an attempt, and records what the server
// asks for.
func (h *Handler) parseReport(
	e *exchange, lease *slots.Lease, conn *upconn.Conn, status int, header http.Header,
) proto.Report {
	report := h.dialect.ParseReport(status, header)
	now := time.Now()
	h.held.record(now, now.Add(-conn.Age(now)), lease.Server, report, e.id)
	return report
}

func dialOutcome(ctx context.Context) choose.Outcome {
	if ctx.Err() != nil {
		return choose.Cancelled
	}
	return choose.Unreachable
}

// connectionFailed releases the lease of an attempt whose connection failed before
// the head of the response, and classifies the failure. Leaving is set if the server has
// announced that it leaves.
func (h *Handler) connectionFailed(
	ctx context.Context, lease *slots.Lease, err error, elapsed time.Duration, leaving bool,
) attemptResult {
	res := attemptResult{failed: true, failure: Unknown, outcome: choose.ConnectionLost, err: err}
	var connErr *upconn.ConnError
	isConnErr := errors.As(err, &connErr)
	if isConnErr && connErr.Ended() {
		h.held.recordEnd(time.Now(), lease.Server)
	}
	switch {
	case isConnErr && !connErr.Written:
		res.failure, res.outcome = NotSent, choose.Cancelled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		res.outcome = choose.TimedOut
	case ctx.Err() != nil:
		res.outcome = choose.Cancelled
	}
	release := choose.Release{Outcome: res.outcome, Loss: lossOf(ctx, connErr), Duration: elapsed}
	h.release(lease, release, proto.Report{Leaving: leaving, Running: -1})
	return res
}

// responseCut releases the lease of an attempt whose response broke off after its head.
// The server may have ended, or may just respond badly. Leaving is set if it has announced
// that it leaves.
func (h *Handler) responseCut(
	ctx context.Context, lease *slots.Lease, err error, elapsed time.Duration, leaving bool,
) attemptResult {
	res := attemptResult{failed: true, failure: Unknown, outcome: choose.ConnectionLost, err: err}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		res.outcome = choose.TimedOut
	case ctx.Err() != nil:
		res.outcome = choose.Cancelled
	}
	release := choose.Release{Outcome: res.outcome, Loss: choose.LossSilent, Duration: elapsed}
	h.release(lease, release, proto.Report{Leaving: leaving, Running: -1})
	return res
}

// lossOf returns how the response of an attempt failed to arrive. A malformed response
// is none: the server that sent it has not ended.
func lossOf(ctx context.Context, err *upconn.ConnError) choose.Loss {
	switch {
	case err == nil || !err.Written:
		return choose.LossNone
	case ctx.Err() != nil:
		return choose.LossSilent
	case err.Ended():
		return choose.LossEnded
	default:
		return choose.LossNone
	}
}

// receive buffers the response body, or its first maxBuffered bytes if it is
// larger, as far as the quota allows. The rest is streamed. Cancel makes reads of the
// connection fail.
func (h *Handler) receive(
	ctx context.Context, cancel context.CancelCauseFunc, e *exchange, lease *slots.Lease, conn *upconn.Conn,
	httpResponse *http.Response, report proto.Report, sent time.Time,
) attemptResult {
	resp := &serverResponse{status: httpResponse.StatusCode, header: httpResponse.Header, length: httpResponse.ContentLength}
	buffer, ended, err := h.memory.Read(httpResponse.Body, maxBuffered)
	resp.buffered, resp.release = buffer.Bytes(), buffer.Release
	// A response that is not forwarded is dropped at the end of the request.
	context.AfterFunc(ctx, buffer.Release)
	if err != nil {
		conn.Close()
		return h.responseCut(ctx, lease, err, time.Since(sent), report.Leaving)
	}
	res := classify(resp, report)
	switch {
	case ended:
		conn.Finish(httpResponse)
		h.conns.Put(conn)
		h.release(lease, choose.Release{Outcome: res.outcome, Duration: time.Since(sent), ConnAge: conn.Age(time.Now())}, report)
		return res
	case res.response == nil:
		// The rest of a response that isn't forwarded would only occupy the server.
		conn.Close()
		h.release(lease, choose.Release{Outcome: res.outcome, Duration: time.Since(sent)}, report)
		return res
	}
	ahead := int64(0)
	if e.largeResponses {
		ahead = maxAhead
	}
	resp.rest = h.ahead.Stream(httpResponse.Body, ahead)
	filled := kernel.Run(ctx, func(ctx context.Context) error {
		err := resp.rest.Fill(ctx)
		h.finishStream(ctx, lease, conn, httpResponse, report, sent, res.outcome, err)
		return err
	})
	var once sync.Once
	resp.finish = func() {
		once.Do(func() {
			cancel(errDropped)
			if err := <-filled; err != nil {
				h.log.WithField("request_id", e.id).WithError(err).Debug("reading a large response ended early")
			}
			resp.rest.Close()
		})
	}
	if e.route.Download {
		return holdBack(ctx, e, res)
	}
	return res
}

// holdBack waits with the response of a download until the request can't be retried with
// a gain any more: the response is complete, its memory is used up or half of the objective
// has passed. It fails if the response breaks off before.
func holdBack(ctx context.Context, e *exchange, res attemptResult) attemptResult {
	timer := time.NewTimer(time.Until(e.arrived.Add(e.route.Objective / holdBackDivisor)))
	defer timer.Stop()
	select {
	case <-res.response.rest.Settled():
	case <-timer.C:
	}
	err := res.response.rest.Err()
	if err == nil {
		return res
	}
	res.response.finish()
	failed := attemptResult{failed: true, failure: Unknown, outcome: choose.ConnectionLost, err: err}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		failed.outcome = choose.TimedOut
	case ctx.Err() != nil:
		failed.outcome = choose.Cancelled
	}
	return failed
}

// finishStream releases the connection and the lease of a response whose body was
// not buffered whole, after the server has sent it or it was abandoned.
func (h *Handler) finishStream(
	ctx context.Context, lease *slots.Lease, conn *upconn.Conn, httpResponse *http.Response,
	report proto.Report, sent time.Time, outcome choose.Outcome, err error,
) {
	release := choose.Release{Outcome: outcome, Duration: time.Since(sent), ConnAge: conn.Age(time.Now())}
	switch {
	case err == nil:
		conn.Finish(httpResponse)
		h.conns.Put(conn)
	case ctx.Err() != nil:
		conn.Close()
		release.Outcome, release.Loss = choose.Cancelled, choose.LossSilent
	default:
		conn.Close()
		release.Outcome, release.Loss = choose.ConnectionLost, choose.LossSilent
	}
	h.release(lease, release, report)
}

// classify determines from a response whether the request was served, and the
// outcome to report for the server.
func classify(resp *serverResponse, report proto.Report) attemptResult {
	switch {
	case report.Misdirected:
		return attemptResult{failed: true, failure: NotRun, outcome: choose.Misdirected}
	case report.NotRun && resp.status != http.StatusBadRequest:
		return attemptResult{failed: true, failure: NotRun, outcome: choose.Shed}
	case impliesNotRun(resp.status), !report.Signed && resp.status < 300:
		// Forwarding this response would make a claim that the server did not make:
		// that the request did not run, or that the service itself succeeded.
		return attemptResult{failed: true, failure: Unknown, outcome: choose.Failed}
	case resp.status == http.StatusGatewayTimeout:
		return attemptResult{response: resp, failed: true, failure: ErrorResponse, outcome: choose.TimedOut}
	case resp.status >= http.StatusInternalServerError:
		return attemptResult{response: resp, failed: true, failure: ErrorResponse, outcome: choose.Failed}
	default:
		return attemptResult{response: resp, outcome: choose.Served}
	}
}

// impliesNotRun reports whether callers read a status as saying that the request
// did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusMisdirectedRequest, http.StatusRequestTimeout,
		http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return true
	default:
		return false
	}
}

// release returns a lease with the end of its attempt and records whether the server
// was reachable.
func (h *Handler) release(lease *slots.Lease, release choose.Release, report proto.Report) {
	h.recordReachability(lease.Server.ID, release.Outcome)
	release.Running, release.Waiting, release.Leaving = report.Running, report.Waiting, report.Leaving
	h.slots.Release(lease, release)
}
