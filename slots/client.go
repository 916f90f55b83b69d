package slots

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"dandeliondoor/choose"
	"dandeliondoor/reach"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

const (
	// maxBrokerAsks is how many remote brokers are asked, one after another,
	// before the local fallback is used.
	maxBrokerAsks = 2
	// askTimeout bounds a call to a broker, which replies without waiting for a
	// free server.
	askTimeout = 150 * time.Millisecond
	// maxBrokers is how many living daemons may act as the broker of a part, as each of
	// them may not be ready to.
	maxBrokers = 4
)

// ViewSource returns this daemon's record and its current view.
type ViewSource = reach.ViewSource

// Client obtains a server for each attempt from a broker.
type Client struct {
	views    ViewSource
	peers    *wire.Peers
	broker   *Broker
	fallback *Broker
	log      *logrus.Entry
	ticket   atomic.Uint64
	first    uint64
	ranking  *reach.Ranking[PoolKey]
}

// NewClient returns a client. It uses broker for the parts that this daemon
// brokers, and fallback when no broker can be reached.
func NewClient(views ViewSource, peers *wire.Peers, broker, fallback *Broker, log *logrus.Entry) *Client {
	c := &Client{
		views: views, peers: peers, broker: broker, fallback: fallback, log: log, ranking: newRanking(views, peers),
	}
	// No process of a daemon issues a ticket per nanosecond, so that those of the next
	// one are higher.
	last := uint64(time.Now().UnixNano())
	c.ticket.Store(last)
	c.first = last + 1
	return c
}

// Ask returns a lease on a server. It returns a RefusedError if no server is
// assigned, and an UnusableServerError if this daemon cannot use the one that is,
// because its view lacks the server or shows it as draining. Refusals is the number
// of earlier refusals of the request.
func (c *Client) Ask(ctx context.Context, service string, refusals int, ask choose.Ask) (*Lease, error) {
	if wait := c.broker.crashes.Refused(time.Now(), ask.Identity); wait > 0 {
		return nil, &RefusedError{Refused: choose.Refused{Reason: choose.ReasonCrashes, RetryAfter: wait}}
	}
	ask.Daemon = c.views.Self().Name
	ask.Ticket = c.ticket.Add(1)
	pool := newPoolKey(service, c.views.View().PartCount(service), ask.Identity.Content, refusals)
	ask.Exclude = pool.members(ask.Exclude)
	request := AskRequest{Pool: pool, Ask: ask, FirstTicket: c.firstTicket()}
	if c.Queues() && ask.Cause != choose.CauseHedge {
		request.Wait = true
		return c.askInQueue(ctx, request)
	}
	asked := 0
	for _, daemon := range c.ranking.Living(pool, maxBrokers, anyRank) {
		if daemon.Name == ask.Daemon {
			return c.lease(request, toReply(c.broker.Ask(time.Now(), request)), topo.Daemon{}, false)
		}
		if asked == maxBrokerAsks {
			continue
		}
		asked++
		reply, err := c.call(ctx, daemon, request)
		if err == nil && !reply.Unable {
			return c.lease(request, reply, daemon, false)
		}
		if err != nil {
			c.cancel(daemon, request)
		}
		if ctx.Err() != nil {
			break
		}
	}
	c.log.WithField("service", service).WithField("asked", asked).Debug("no broker answered; using the local fallback")
	return c.lease(request, toReply(c.fallback.Ask(time.Now(), request)), topo.Daemon{}, true)
}

func (c *Client) call(ctx context.Context, daemon topo.Daemon, request AskRequest) (AskReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return wire.Call[AskRequest, AskReply](ctx, c.peers, daemon.Address, askMethod, request)
}

// cancel ends an ask without a reply at a broker, which may have assigned a server. The
// attempt would otherwise keep its room until the deadline, and further copies of a request
// that ended servers would be refused meanwhile.
func (c *Client) cancel(daemon topo.Daemon, request AskRequest) {
	wire.Notify[TicketRequest, Empty](c.peers, daemon.Address, cancelMethod, ticketOf(request))
}

// lease turns a reply into a lease or an error. Broker is empty if the reply is
// from this daemon.
func (c *Client) lease(request AskRequest, reply AskReply, broker topo.Daemon, fallback bool) (*Lease, error) {
	if reply.Granted == nil {
		refused := choose.Refused{Reason: choose.ReasonNoServer}
		if reply.Refused != nil {
			refused = *reply.Refused
		}
		return nil, &RefusedError{Refused: refused}
	}
	lease := &Lease{Pool: request.Pool, Identity: request.Ask.Identity, Ticket: request.Ask.Ticket, Broker: broker, Fallback: fallback}
	lease.GrantedAt = time.Now()
	if broker.Name != "" && c.Queues() {
		present := PresenceRequest{Daemon: request.Ask.Daemon, FirstTicket: request.FirstTicket}
		lease.unhold = wire.Hold[PresenceRequest, Empty](c.peers, broker.Address, presentMethod, present)
	}
	server, known := c.views.View().Servers[reply.Granted.Server]
	if !known || server.Draining {
		lease.Server.ID = reply.Granted.Server
		c.Release(lease, choose.Release{Outcome: choose.Cancelled, Running: -1})
		if !request.Ask.Credited {
			c.ReturnCredit(lease, request.Ask.Account)
		}
		return nil, &UnusableServerError{Server: reply.Granted.Server}
	}
	lease.Server, lease.Patience = server, reply.Granted.Patience
	return lease, nil
}

// UnusableServerError means that a broker assigned a server that is unknown to
// this daemon or draining.
type UnusableServerError struct{ Server string }

// Error names the server.
func (e *UnusableServerError) Error() string {
	return "broker assigned an unknown or draining server: " + e.Server
}

// Release ends a lease and reports the outcome to the broker that granted it.
func (c *Client) Release(lease *Lease, release choose.Release) {
	release.Daemon, release.Ticket, release.Identity = c.views.Self().Name, lease.Ticket, lease.Identity
	release.Server, release.Born = lease.Server.ID, lease.Server.Born
	request := ReleaseRequest{Pool: lease.Pool, Release: release, FirstTicket: c.firstTicket()}
	if lease.unhold != nil {
		lease.unhold()
	}
	now := time.Now()
	c.broker.crashes.Released(now, lease.Pool.Service, release)
	// The fallback also gets every outcome, so that its estimates are current
	// when it is needed. It ignores outcomes of a pool until its first ask creates it.
	c.fallback.releaseServer(now, request)
	switch {
	case lease.Fallback:
	case lease.Broker.Name == "":
		c.broker.releaseServer(now, request)
	default:
		wire.Notify[ReleaseRequest, Empty](c.peers, lease.Broker.Address, releaseMethod, request)
	}
}

// firstTicket returns the first ticket of this process if it shows to the brokers that it
// lives while its attempts run, and 0 otherwise.
func (c *Client) firstTicket() uint64 {
	if !c.Queues() {
		return 0
	}
	return c.first
}

// ReturnCredit gives back the token of a request of an account that has not run. The lease
// is the one of its first attempt.
func (c *Client) ReturnCredit(lease *Lease, account string) {
	if account == "" {
		return
	}
	now := time.Now()
	returned := CreditReturn{Account: account, Age: now.Sub(lease.GrantedAt)}
	switch {
	case lease.Fallback:
		c.fallback.ReturnCredit(now, returned)
	case lease.Broker.Name == "":
		c.broker.ReturnCredit(now, returned)
	default:
		wire.Notify[CreditReturn, Empty](c.peers, lease.Broker.Address, creditMethod, returned)
	}
}

func toReply(decision choose.Decision) AskReply {
	switch decision := decision.(type) {
	case choose.Granted:
		return AskReply{Granted: &decision}
	case choose.Refused:
		return AskReply{Refused: &decision}
	case choose.Queued:
		return AskReply{Queued: &decision}
	default:
		return AskReply{}
	}
}
