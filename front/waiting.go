package front

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/choose"
	"dandeliondoor/proto"
	"dandeliondoor/slots"
)

const (
	// maxFullParts is how many parts of a service are asked that refuse for lack of room.
	// A second one evens out the load; further ones would multiply the calls when all
	// parts are full.
	maxFullParts = 2
	// maxQueuedAsks bounds the asks of one attempt, whose servers may be unusable.
	maxQueuedAsks = 8
)

// beginQueued obtains a lease on a server, for which the ask may wait at the broker, and
// starts an attempt in the background. It reports false if no server was granted.
func (h *Handler) beginQueued(ctx context.Context, e *exchange) bool {
	refusals := 0
	for range maxQueuedAsks {
		if !h.mayBegin(e) {
			e.refused = true
			return false
		}
		now := time.Now()
		if h.allHeld(e, now, now) {
			e.lastRefusal = choose.Refused{Reason: choose.ReasonNoServer, RetryAfter: h.nextServer(e.service)}
			return false
		}
		lease, err := h.slots.Ask(ctx, e.service, refusals, h.queuedRequest(now, e))
		if err == nil {
			return h.startQueued(ctx, e, lease)
		}
		h.recordUnassigned(e, err)
		if ctx.Err() != nil {
			return false
		}
		var unusable *slots.UnusableServerError
		if errors.As(err, &unusable) {
			continue
		}
		refusals++
		if refusals >= h.partsToAsk(e) {
			return false
		}
	}
	return false
}

// partsToAsk returns how many parts may be asked in all after the last refusal.
func (h *Handler) partsToAsk(e *exchange) int {
	parts := h.views.View().PartCount(e.service)
	switch e.lastRefusal.Reason {
	case choose.ReasonNoServer:
		return parts
	case choose.ReasonOverload:
		return min(parts, maxFullParts)
	default:
		return 0
	}
}

// queuedRequest returns the ask for the next attempt.
func (h *Handler) queuedRequest(now time.Time, e *exchange) choose.Ask {
	ask := h.slotRequest(e)
	ask.Age = now.Sub(e.arrived)
	if ask.Repeat || e.cause == choose.CauseHedge {
		ask.Cause = e.cause
	}
	return ask
}

// startQueued starts an attempt on a lease, unless the daemon has begun to stop meanwhile.
func (h *Handler) startQueued(ctx context.Context, e *exchange, lease *slots.Lease) bool {
	if ctx.Err() != nil || !h.mayBegin(e) {
		h.release(lease, choose.Release{Outcome: choose.Cancelled}, proto.Report{Running: -1})
		e.refused = ctx.Err() == nil
		return false
	}
	h.startAttempt(ctx, e, lease)
	return true
}
