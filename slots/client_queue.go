package slots

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"dandeliondoor/choose"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

// Queues reports whether asks wait at the brokers, so that a refusal is final.
func (c *Client) Queues() bool { return c.broker.Queues() }

// errNoDecision means that a broker stopped deciding on a queued ask.
var errNoDecision = errors.New("broker no longer decides on the ask")

// askInQueue obtains a lease from the first broker that decides on an ask, after a wait in
// its queue. If a broker is lost or stops meanwhile, the next one is asked. The age of the
// request restores its position there.
func (c *Client) askInQueue(ctx context.Context, request AskRequest) (*Lease, error) {
	began, ask := time.Now(), request.Ask
	asked := 0
	for _, daemon := range c.ranking.Living(request.Pool, maxBrokers, anyRank) {
		isLocal := daemon.Name == ask.Daemon
		if !isLocal && asked == maxBrokerAsks {
			continue
		}
		request.Ask = aged(ask, time.Since(began))
		var reply AskReply
		var err error
		if isLocal {
			daemon = topo.Daemon{}
			reply, err = c.waitLocally(ctx, c.broker, request)
		} else {
			asked++
			reply, err = c.waitRemotely(ctx, daemon, request)
		}
		if err == nil {
			return c.lease(request, reply, daemon, false)
		}
		if ctx.Err() != nil {
			return nil, errors.Wrap(ctx.Err(), "wait for a server")
		}
	}
	c.log.WithField("service", request.Pool.Service).WithField("asked", asked).Debug("no broker decided; using the local fallback")
	request.Ask = aged(ask, time.Since(began))
	reply, err := c.waitLocally(ctx, c.fallback, request)
	if err != nil {
		return nil, errors.Wrap(err, "wait for a server of the fallback")
	}
	return c.lease(request, reply, topo.Daemon{}, true)
}

// waitLocally asks a broker of this daemon and waits for the decision.
func (c *Client) waitLocally(ctx context.Context, broker *Broker, request AskRequest) (AskReply, error) {
	decisions := make(chan choose.Decision, 1)
	began := time.Now()
	decision := broker.Enqueue(began, request, nil, func(decision choose.Decision) { decisions <- decision })
	queued, isQueued := decision.(choose.Queued)
	if isQueued {
		select {
		case decision = <-decisions:
		case <-ctx.Done():
			broker.Cancel(time.Now(), ticketOf(request))
			return AskReply{}, ctx.Err()
		}
	}
	if decision == nil {
		return AskReply{}, errNoDecision
	}
	reply := toReply(decision)
	if isQueued {
		c.logWait(request, reply, queued, topo.Daemon{}, time.Since(began))
	}
	return reply, nil
}

// waitRemotely asks a broker and waits for the decision.
func (c *Client) waitRemotely(ctx context.Context, daemon topo.Daemon, request AskRequest) (AskReply, error) {
	began := time.Now()
	reply, err := c.call(ctx, daemon, request)
	if err == nil && reply.Queued != nil {
		queued := *reply.Queued
		reply, err = c.await(ctx, daemon, request)
		if err == nil && !reply.Unable {
			c.logWait(request, reply, queued, daemon, time.Since(began))
		}
	}
	switch {
	case err != nil:
		c.cancel(daemon, request)
		return AskReply{}, err
	case reply.Unable:
		return AskReply{}, errNoDecision
	default:
		return reply, nil
	}
}

// await waits for the decision on a queued ask. The broker decides before the deadline.
func (c *Client) await(ctx context.Context, daemon topo.Daemon, request AskRequest) (AskReply, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Ask.Left+askTimeout)
	defer cancel()
	return wire.Call[TicketRequest, AskReply](ctx, c.peers, daemon.Address, awaitMethod, ticketOf(request))
}

// logWait records the decision on an ask that has waited.
func (c *Client) logWait(request AskRequest, reply AskReply, queued choose.Queued, broker topo.Daemon, waited time.Duration) {
	entry := c.log.WithFields(logrus.Fields{
		"service": request.Pool.Service, "part": request.Pool.Part, "broker": broker.Name, "position": queued.Position,
		"expected_ms": queued.Wait.Milliseconds(), "wait_ms": waited.Milliseconds(), "priority": request.Ask.Priority,
		"account": request.Ask.Account, "repeat": request.Ask.Repeat,
	})
	if reply.Refused != nil {
		entry.WithField("reason", reply.Refused.Reason).WithField("retry_after_ms", reply.Refused.RetryAfter.Milliseconds()).
			Info("an ask was refused after a wait")
		return
	}
	entry.WithField("reason", "assigned").Debug("an ask got a server after a wait")
}
