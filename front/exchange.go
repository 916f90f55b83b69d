package front

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"dandeliondoor/choose"
	"dandeliondoor/costs"
	"dandeliondoor/crash"
	"dandeliondoor/proto"
	"dandeliondoor/slots"
	"dandeliondoor/topo"
	"dandeliondoor/upconn"
)

// exchange is the state of one caller's request. Account is nil without a client account.
// Version is that of the configuration that the route was looked up in. Pending counts the attempts
// without a result so far; hedgeDelay is how long to wait for one before hedging.
// Credited is the lease of the first attempt, which took the credit of the account.
// Received is when the body was complete, zero if it is streamed. Refused is set if
// an attempt was not begun because the daemon stops, responded once the head of a
// response may have been written. Cause is why the next attempt is made.
type exchange struct {
	id          string
	request     *http.Request
	header      http.Header
	route       *topo.Route
	account     *topo.Account
	version     uint64
	service     string
	body        *body
	identity    crash.Identity
	arrived     time.Time
	received    time.Time
	deadline    time.Time
	history     *History
	credited    *slots.Lease
	results     chan attemptResult
	pending     int
	hedgeDelay  time.Duration
	lastRefusal choose.Refused
	refused     bool
	responded   bool
	cause       choose.Cause

	// largeResponses is set if the configuration has routes of large responses.
	largeResponses bool
}

// errStopping is the cause of the end of a request that the end of a stop interrupts,
// and of an attempt that isn't made because of it.
var errStopping = errors.New("daemon is stopping")

// mayBegin reports whether an attempt may begin now.
func (h *Handler) mayBegin(e *exchange) bool {
	return h.currentStop().Allows(time.Now(), Attempt{Received: e.received, Deadline: e.deadline, Objective: e.route.Objective})
}

// outgoing returns the request to send to a server, which has until the deadline.
func (e *exchange) outgoing(dialect proto.Dialect, server string, deadline time.Time) *upconn.Request {
	header := e.header.Clone()
	dialect.SetRequestHeaders(header, time.Until(deadline), server, e.accountName())
	return &upconn.Request{
		Method:  e.request.Method,
		Target:  e.request.RequestURI,
		Host:    e.request.Host,
		Header:  header,
		Body:    e.body.reader(),
		Length:  e.body.length,
		Matches: func(header http.Header, first bool) bool { return dialect.MatchesRequest(header, e.id, first) },
	}
}

// run makes attempts until a server responds or no retry is allowed, and returns
// either the response to forward or a local one.
func (h *Handler) run(ctx context.Context, e *exchange) (*serverResponse, localResponse) {
	e.results = make(chan attemptResult, maxAttempts)
	if !h.beginAttempt(ctx, e) {
		return nil, e.unsentResponse(ctx)
	}
	hedge := time.NewTimer(e.hedgeDelay)
	defer hedge.Stop()
	again := hedgeRetryDelay
	var last attemptResult
	for e.pending > 0 {
		select {
		case <-hedge.C:
			if h.hedge(ctx, e) {
				hedge.Reset(again)
				again = min(2*again, maxHedgeRetryDelay)
			}
		case res := <-e.results:
			e.pending--
			if !res.failed {
				h.metrics.attempts.WithLabelValues("served").Inc()
				return res.response, localResponse{}
			}
			h.recordFailure(e, res)
			if last.response == nil || res.response != nil {
				last = res
			}
			if h.retry(ctx, e, res) {
				hedge.Reset(e.hedgeDelay)
				again = hedgeRetryDelay
			}
		}
	}
	if !e.history.MayHaveRun() {
		h.slots.ReturnCredit(e.credited, e.accountName())
	}
	return e.finalResponse(ctx, last, h.nextServer(e.service))
}

// retry makes another attempt after a failed one, if that is allowed, and reports whether
// the request should be hedged again. A withheld attempt is made up for at once, since none
// of the body was read and no server got the request.
func (h *Handler) retry(ctx context.Context, e *exchange, res attemptResult) bool {
	switch {
	case ctx.Err() != nil:
		return false
	case e.pending > 0:
		if res.withheld {
			h.hedge(ctx, e)
		}
		return false
	case !e.body.resendable() && !res.withheld, !e.history.MayRetry(res.failure):
		return false
	default:
		e.cause = choose.CauseFailed
		if res.failure == NotRun {
			e.cause = choose.CauseRejected
		}
		return h.beginAttempt(ctx, e)
	}
}

// hedge sends an idempotent request to another server when the pending attempt
// takes longer than expected; the first response is forwarded. It reports whether it is to
// be tried again since there was no room: where asks wait for room, hedges don't, and most
// requests that failed on slow servers did so after one refused hedge.
func (h *Handler) hedge(ctx context.Context, e *exchange) bool {
	if !e.route.Idempotent || !e.body.resendable() || !e.history.MayRetry(Unknown) {
		return false
	}
	e.cause = choose.CauseHedge
	if h.beginAttempt(ctx, e) {
		h.metrics.hedges.Inc()
		return false
	}
	return h.slots.Queues() && !e.refused && ctx.Err() == nil && e.lastRefusal.Reason == choose.ReasonOverload
}

// beginAttempt obtains a lease on a server and starts an attempt in the background.
// It reports false if no server was granted. A refusal is retried only until
// waitUntil, which is measured from the arrival of the request, so that mainly the
// first attempt waits for a server, and only if one may take the request by then.
func (h *Handler) beginAttempt(ctx context.Context, e *exchange) bool {
	if h.slots.Queues() {
		return h.beginQueued(ctx, e)
	}
	waitUntil := e.arrived.Add(max(e.route.Objective/slotWaitDivisor, minWait))
	for slotRequests := 1; ; slotRequests++ {
		if !h.mayBegin(e) {
			e.refused = true
			return false
		}
		if h.allHeld(e, time.Now(), waitUntil) {
			e.lastRefusal = choose.Refused{Reason: choose.ReasonNoServer, RetryAfter: h.nextServer(e.service)}
			return false
		}
		lease, err := h.slots.Ask(ctx, e.service, slotRequests-1, h.slotRequest(e))
		if err == nil {
			h.startAttempt(ctx, e, lease)
			return true
		}
		h.recordUnassigned(e, err)
		delay, again := h.nextSlotRequest(e, err, slotRequests, waitUntil)
		if !again || ctx.Err() != nil || slotRequests == maxSlotRequests {
			return false
		}
		if delay > 0 {
			sleep(ctx, delay)
		}
	}
}

// recordUnassigned records why a slot request brought no server.
func (h *Handler) recordUnassigned(e *exchange, err error) {
	var unusable *slots.UnusableServerError
	var refused *slots.RefusedError
	switch {
	case errors.As(err, &unusable):
		e.history.tried = append(e.history.tried, unusable.Server)
	case errors.As(err, &refused):
		e.lastRefusal = refused.Refused
		if refused.Reason == choose.ReasonNoServer {
			e.lastRefusal.RetryAfter = max(refused.RetryAfter, h.nextServer(e.service))
		}
	}
}

// nextSlotRequest returns after which delay a slot request that failed may be repeated,
// and false if it may not. A part without a usable server is no reason to wait: the next
// request goes to another part.
func (h *Handler) nextSlotRequest(e *exchange, err error, slotRequests int, waitUntil time.Time) (time.Duration, bool) {
	var unusable *slots.UnusableServerError
	var refused *slots.RefusedError
	switch {
	case errors.As(err, &unusable):
		return 0, true
	case !errors.As(err, &refused):
		return slotRetryDelay, true
	case isFinal(refused):
		return 0, false
	case refused.Reason == choose.ReasonNoServer && slotRequests < h.views.View().PartCount(e.service):
		return 0, true
	default:
		return slotRetryDelay, time.Now().Before(waitUntil)
	}
}

// isFinal reports whether repeating a refused slot request cannot succeed.
func isFinal(refused *slots.RefusedError) bool {
	return refused.Reason == choose.ReasonBudget || refused.Reason == choose.ReasonCrashes || refused.Reason == choose.ReasonQuota
}

// Limits of the wait for a server.
const (
	// slotWaitDivisor is the divisor of the route's objective that gives the wait
	// for a server. A wait of more than an eighth of the objective would delay the
	// caller's own retry.
	slotWaitDivisor = 8
	// minWait is the minimum of that wait and of the delay before a hedge.
	minWait        = 60 * time.Millisecond
	slotRetryDelay = 25 * time.Millisecond
	// hedgeRetryDelay is after which time a hedge is asked for again that found no room. It
	// doubles up to maxHedgeRetryDelay, so that the asks don't multiply where all servers are
	// slow and full. Hedges are sent up to 1.5 mean durations before the deadline, which is
	// time for some four asks.
	hedgeRetryDelay    = 50 * time.Millisecond
	maxHedgeRetryDelay = 400 * time.Millisecond
	maxSlotRequests    = 40
)

func (h *Handler) slotRequest(e *exchange) choose.Ask {
	ask := choose.Ask{
		Route:     e.route.Name,
		Zone:      h.zone,
		Priority:  e.account.EffectivePriority(e.route.Priority),
		Age:       time.Since(e.arrived),
		Objective: e.route.Objective,
		Left:      time.Until(h.currentStop().ServerDeadline(e.deadline)),
		Exclude:   e.history.excluded(h.avoidedServers(e.service)),
		Repeat:    e.history.sends > 0,
		Account:   e.accountName(),
		Credited:  e.credited != nil,
		Identity:  e.identity,
		Probe:     e.route.Idempotent && e.body.resendable() && e.history.sends+1 < e.history.maxSends,
	}
	if h.costTraits {
		ask.Traits = e.traits()
	}
	return ask
}

// traits returns what may predict the cost of the request, except for its account.
func (e *exchange) traits() costs.Traits {
	traits := costs.Traits{Route: e.route.Name, BodyBytes: e.body.length}
	if path := e.request.URL.Path; path != "" {
		traits.Path = xxhash.Sum64String(path)
	}
	if query := e.request.URL.RawQuery; query != "" {
		traits.Query = xxhash.Sum64String(query)
	}
	return traits
}

// startAttempt records an attempt and makes it in the background. Its result is sent
// to e.results.
func (h *Handler) startAttempt(ctx context.Context, e *exchange, lease *slots.Lease) {
	e.history.RecordAttempt(lease.Server.ID)
	if e.credited == nil {
		e.credited = lease
	}
	e.pending++
	e.hedgeDelay = max(lease.Patience, minWait)
	go func(results chan<- attemptResult) {
		res := h.attemptRecovered(ctx, e, lease)
		if res.response != nil && res.response.finish != nil {
			// When the exchange ends, a response that was not forwarded is released.
			context.AfterFunc(ctx, res.response.finish)
		}
		results <- res
	}(e.results)
}

var errPanicked = errors.New("the attempt panicked")

// attemptRecovered makes an attempt that fails if it panics: a panic in its goroutine would
// end the process, with all requests on it.
func (h *Handler) attemptRecovered(ctx context.Context, e *exchange, lease *slots.Lease) (res attemptResult) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		h.logPanic(e, cause)
		h.release(lease, choose.Release{Outcome: choose.Cancelled}, proto.Report{Running: -1})
		res = attemptResult{lease: lease, failed: true, failure: Unknown, outcome: choose.Cancelled, err: errPanicked}
	}()
	return h.attempt(ctx, e, lease)
}

func (h *Handler) recordFailure(e *exchange, res attemptResult) {
	e.history.RecordFailure(res.failure)
	h.metrics.attempts.WithLabelValues(outcomeNames[res.outcome]).Inc()
	entry := h.log.WithField("request_id", e.id).WithField("server", res.lease.Server.ID).
		WithField("outcome", outcomeNames[res.outcome]).WithField("ms", res.duration.Milliseconds()).
		WithField("sends", e.history.sends).WithField("alone", res.lease.Fallback).
		WithField("fingerprint", e.identity.Caller.String()).WithField("content", e.identity.Content.String())
	if res.response != nil {
		entry = entry.WithField("status", res.response.status)
	}
	if res.err != nil {
		entry = entry.WithError(res.err)
	}
	entry.Info("attempt failed")
}

// finalResponse returns the response to a request none of whose attempts was served.
// NextServer is the time until a server wants requests again if all want none.
func (e *exchange) finalResponse(
	ctx context.Context, last attemptResult, nextServer time.Duration,
) (*serverResponse, localResponse) {
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	interrupted := errors.Is(context.Cause(ctx), errStopping)
	switch {
	case last.response != nil:
		return last.response, localResponse{}
	case e.history.MayHaveRun() && expired:
		return nil, localResponse{status: http.StatusGatewayTimeout, reason: reasonDeadline}
	case e.history.MayHaveRun() && interrupted:
		return nil, localResponse{status: http.StatusGatewayTimeout, reason: reasonStopping}
	case e.history.MayHaveRun():
		return nil, localResponse{status: http.StatusBadGateway, reason: reasonNoAnswer}
	case interrupted, e.refused, errors.Is(last.err, errStopping):
		return nil, stoppingResponse
	case expired:
		return nil, localResponse{status: http.StatusServiceUnavailable, reason: reasonDeadline}
	case last.outcome == choose.Shed || last.outcome == choose.Misdirected:
		return nil, localResponse{
			status: http.StatusServiceUnavailable, reason: reasonServersShed, retryAfter: max(nextServer, minRetryAfter),
		}
	default:
		return nil, e.noServerResponse()
	}
}

// minRetryAfter is the Retry-After delay of a request that arrived before there was a
// configuration, and the minimum delay of one that servers shed or that no server was
// granted for.
const minRetryAfter = 100 * time.Millisecond

// unsentResponse returns the response to a request that no attempt was begun for.
func (e *exchange) unsentResponse(ctx context.Context) localResponse {
	if e.refused || errors.Is(context.Cause(ctx), errStopping) {
		return stoppingResponse
	}
	return e.noServerResponse()
}

// noServerResponse returns the response to a request that no server was granted for.
func (e *exchange) noServerResponse() localResponse {
	local := localResponse{
		status: http.StatusServiceUnavailable, reason: reasonNoServer,
		retryAfter: max(e.lastRefusal.RetryAfter, minRetryAfter),
	}
	switch e.lastRefusal.Reason {
	case choose.ReasonCrashes:
		local.reason = reasonCrashes
	case choose.ReasonQuota:
		local.status, local.reason = http.StatusTooManyRequests, reasonQuota
		local.retryAfter = e.lastRefusal.RetryAfter
	default:
	}
	return local
}

// outcomeNames maps outcomes to their names in logs and metrics.
var outcomeNames = map[choose.Outcome]string{
	choose.Cancelled:      "cancelled",
	choose.Failed:         "server_error",
	choose.Misdirected:    "misdirected",
	choose.ConnectionLost: "connection_lost",
	choose.Served:         "served",
	choose.Shed:           "shed",
	choose.TimedOut:       "timed_out",
	choose.Unreachable:    "unreachable",
}

// sleep waits for a period or until the context is done.
func sleep(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
