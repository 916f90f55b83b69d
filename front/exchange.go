package front

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/choose"
	"dandeliondoor/crash"
	"dandeliondoor/proto"
	"dandeliondoor/slots"
	"dandeliondoor/topo"
	"dandeliondoor/upconn"
)

// exchange is one request of a caller on its way.
type exchange struct {
	id       string
	request  *http.Request
	header   http.Header
	route    *topo.Route
	version  uint64
	service  string
	body     *body
	content  crash.Fingerprint
	arrived  time.Time
	deadline time.Time
	history  *History
	results  chan result
	pending  int
	patience time.Duration
	refused  choose.Refused
}

// outgoing returns the request as a server receives it.
func (e *exchange) outgoing(dialect proto.Dialect, server string) *upconn.Request {
	header := e.header.Clone()
	dialect.Address(header, time.Until(e.deadline), server)
	return &upconn.Request{
		Method:  e.request.Method,
		Target:  e.request.RequestURI,
		Host:    e.request.Host,
		Header:  header,
		Body:    e.body.open(),
		Length:  e.body.length,
		Matches: func(header http.Header) bool { return dialect.Answers(header, e.id) },
	}
}

// run sends the request until a server answers or no more may be tried, and
// returns the answer to pass on or the fleet's own.
func (h *Handler) run(ctx context.Context, e *exchange) (*answer, ownAnswer) {
	e.results = make(chan result, maxTries)
	if !h.begin(ctx, e) {
		return nil, e.refusal()
	}
	hedge := time.NewTimer(e.patience)
	defer hedge.Stop()
	var last result
	for e.pending > 0 {
		select {
		case <-hedge.C:
			h.hedge(ctx, e)
		case res := <-e.results:
			e.pending--
			if !res.failed {
				h.metrics.attempts.WithLabelValues("served").Inc()
				return res.answer, ownAnswer{}
			}
			h.noteFailure(e, res)
			if last.answer == nil || res.answer != nil {
				last = res
			}
			if e.pending == 0 && ctx.Err() == nil && e.body.repeatable() && e.history.Again(res.failure) {
				if h.begin(ctx, e) {
					hedge.Reset(e.patience)
				}
			}
		}
	}
	return e.conclude(ctx, last)
}

// hedge sends an idempotent request to a second server when the first one takes
// longer than expected; whichever answers first is passed on.
func (h *Handler) hedge(ctx context.Context, e *exchange) {
	if !e.route.Idempotent || !e.body.repeatable() || !e.history.Again(Unknown) {
		return
	}
	if h.begin(ctx, e) {
		h.metrics.hedges.Inc()
	}
}

// begin starts one attempt in the background and reports whether there was a
// server for it. The first attempt waits a short while for one.
func (h *Handler) begin(ctx context.Context, e *exchange) bool {
	limit := e.arrived.Add(max(e.route.Objective/patientPart, minPatience))
	for asks := 1; ; asks++ {
		lease, err := h.slots.Ask(ctx, e.service, asks-1, h.ask(e))
		if err == nil {
			h.start(ctx, e, lease)
			return true
		}
		var unknownServer *slots.UnknownError
		var refused *slots.RefusedError
		switch {
		case errors.As(err, &unknownServer):
			e.history.tried = append(e.history.tried, unknownServer.Server)
		case errors.As(err, &refused):
			e.refused = refused.Refused
		}
		if ctx.Err() != nil || asks == maxAsks || isFinal(refused) || (refused != nil && !time.Now().Before(limit)) {
			return false
		}
		if unknownServer == nil {
			wait(ctx, askPause)
		}
	}
}

// isFinal reports whether asking again is of no use.
func isFinal(refused *slots.RefusedError) bool {
	return refused != nil && (refused.Reason == choose.ReasonBudget || refused.Reason == choose.ReasonCrashes)
}

// The wait for a first server.
const (
	// patientPart is the part of its objective that a request waits for a
	// server: holding it longer than an eighth delays the caller's own retry.
	patientPart = 8
	minPatience = 60 * time.Millisecond
	askPause    = 25 * time.Millisecond
	maxAsks     = 40
)

func (h *Handler) ask(e *exchange) choose.Ask {
	return choose.Ask{
		Route:     e.route.Name,
		Zone:      h.zone,
		Priority:  e.route.Priority,
		Objective: e.route.Objective,
		Left:      time.Until(e.deadline),
		Exclude:   e.history.exclude(h.avoided()),
		Repeat:    e.history.sends > 0,
		Content:   e.content,
		Probe:     e.route.Idempotent && e.body.repeatable() && e.history.sends+1 < e.history.attempts,
	}
}

func (h *Handler) start(ctx context.Context, e *exchange, lease *slots.Lease) {
	e.history.Began(lease.Server.ID)
	e.pending++
	e.patience = max(lease.Patience, minPatience)
	go func(results chan<- result) {
		res := h.attempt(ctx, e, lease)
		if res.answer != nil && res.answer.finish != nil {
			// An answer that nobody passes on ends with the exchange.
			context.AfterFunc(ctx, func() { res.answer.finish(context.Cause(ctx)) })
		}
		results <- res
	}(e.results)
}

func (h *Handler) noteFailure(e *exchange, res result) {
	e.history.Failed(res.failure)
	h.metrics.attempts.WithLabelValues(outcomeNames[res.outcome]).Inc()
	entry := h.log.WithField("request_id", e.id).WithField("server", res.lease.Server.ID).
		WithField("outcome", outcomeNames[res.outcome]).WithField("ms", res.duration.Milliseconds()).
		WithField("sends", e.history.sends).WithField("alone", res.lease.Alone)
	if res.answer != nil {
		entry = entry.WithField("status", res.answer.status)
	}
	if res.err != nil {
		entry = entry.WithError(res.err)
	}
	entry.Info("attempt failed")
}

// conclude returns the answer for a request of which no attempt was served.
func (e *exchange) conclude(ctx context.Context, last result) (*answer, ownAnswer) {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case last.answer != nil:
		return last.answer, ownAnswer{}
	case e.history.MayHaveRun() && late:
		return nil, ownAnswer{status: http.StatusGatewayTimeout, reason: reasonDeadline}
	case e.history.MayHaveRun():
		return nil, ownAnswer{status: http.StatusBadGateway, reason: reasonNoAnswer}
	case late:
		return nil, ownAnswer{status: http.StatusServiceUnavailable, reason: reasonDeadline}
	case last.outcome == choose.Shed || last.outcome == choose.Gone:
		return nil, ownAnswer{status: http.StatusServiceUnavailable, reason: reasonServersShed, retryAfter: shedRetryAfter}
	default:
		return nil, e.refusal()
	}
}

// shedRetryAfter is when a caller may come again after servers refused its
// request.
const shedRetryAfter = 100 * time.Millisecond

// refusal returns the answer for a request that no server could take.
func (e *exchange) refusal() ownAnswer {
	return ownAnswer{
		status: http.StatusServiceUnavailable, reason: reasonNoServer,
		retryAfter: max(e.refused.RetryAfter, shedRetryAfter),
	}
}

// outcomeNames are the names of outcomes in logs and metrics.
var outcomeNames = map[choose.Outcome]string{
	choose.Cancelled:   "cancelled",
	choose.Failed:      "server_error",
	choose.Gone:        "misdirected",
	choose.Lost:        "connection_lost",
	choose.Served:      "served",
	choose.Shed:        "shed",
	choose.TimedOut:    "timed_out",
	choose.Unreachable: "unreachable",
}

// wait waits, or returns when the context ends.
func wait(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
