package slots

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"dandeliondoor/choose"
	"dandeliondoor/feed"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

const (
	// maxBrokers bounds the daemons that are asked one after another.
	maxBrokers = 2
	// askTimeout bounds one ask; a broker answers at once.
	askTimeout = 150 * time.Millisecond
	// brokerRanks is how many daemons are ranked for a service.
	brokerRanks = 4
)

// ViewSource gives the view of this daemon.
type ViewSource interface {
	View() *feed.View
	Self() topo.Daemon
}

// Client finds a server for each attempt.
type Client struct {
	views  ViewSource
	peers  *wire.Peers
	broker *Broker
	alone  *Broker
	log    *logrus.Entry
	ticket atomic.Uint64

	mutex   sync.Mutex
	ranked  map[PoolKey][]topo.Daemon
	daemons []topo.Daemon
}

// NewClient returns a client; broker decides for the services that this daemon
// brokers, and alone when no broker can be reached.
func NewClient(views ViewSource, peers *wire.Peers, broker, alone *Broker, log *logrus.Entry) *Client {
	c := &Client{views: views, peers: peers, broker: broker, alone: alone, log: log, ranked: make(map[PoolKey][]topo.Daemon)}
	c.ticket.Store(uint64(time.Now().UnixNano()))
	return c
}

// Ask returns a lease on a server, or a RefusedError. Refusals is how often the
// request was refused before.
func (c *Client) Ask(ctx context.Context, service string, refusals int, ask choose.Ask) (*Lease, error) {
	ask.Daemon = c.views.Self().Name
	ask.Ticket = c.ticket.Add(1)
	pool := newPoolKey(service, len(c.views.View().Services[service]), ask.Content, refusals)
	request := AskRequest{Pool: pool, Ask: ask}
	asked := 0
	for _, daemon := range c.brokers(pool) {
		if daemon.Name == ask.Daemon {
			return c.lease(request, toReply(c.broker.Ask(time.Now(), request)), topo.Daemon{}, false)
		}
		if asked == maxBrokers || !c.peers.Usable(daemon.Address) {
			continue
		}
		asked++
		reply, err := c.call(ctx, daemon, request)
		if err == nil && !reply.Unable {
			return c.lease(request, reply, daemon, false)
		}
		if ctx.Err() != nil {
			break
		}
	}
	c.log.WithField("service", service).WithField("asked", asked).Debug("no broker answered; deciding alone")
	return c.lease(request, toReply(c.alone.Ask(time.Now(), request)), topo.Daemon{}, true)
}

func (c *Client) call(ctx context.Context, daemon topo.Daemon, request AskRequest) (AskReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return wire.Call[AskRequest, AskReply](ctx, c.peers, daemon.Address, askMethod, request)
}

func (c *Client) lease(request AskRequest, reply AskReply, broker topo.Daemon, alone bool) (*Lease, error) {
	if reply.Granted == nil {
		refused := choose.Refused{Reason: choose.ReasonNoServer}
		if reply.Refused != nil {
			refused = *reply.Refused
		}
		return nil, &RefusedError{Refused: refused}
	}
	lease := &Lease{Pool: request.Pool, Ticket: request.Ask.Ticket, Broker: broker, Fallback: alone}
	server, known := c.views.View().Servers[reply.Granted.Server]
	if !known || server.Draining {
		lease.Server.ID = reply.Granted.Server
		c.Release(lease, choose.Release{Outcome: choose.Cancelled, Running: -1})
		return nil, &UnusableServerError{Server: reply.Granted.Server}
	}
	lease.Server, lease.Patience = server, reply.Granted.Patience
	return lease, nil
}

// UnusableServerError means that a broker gave a server that this daemon does not know
// or knows to be leaving.
type UnusableServerError struct{ Server string }

// Error names the server.
func (e *UnusableServerError) Error() string {
	return "broker gave a server that is not in use: " + e.Server
}

// Release ends a lease with what was seen.
func (c *Client) Release(lease *Lease, release choose.Release) {
	release.Daemon, release.Ticket, release.Server = c.views.Self().Name, lease.Ticket, lease.Server.ID
	request := ReleaseRequest{Pool: lease.Pool, Release: release}
	now := time.Now()
	// The own pool learns from each outcome, to decide well when it has to.
	c.alone.Release(now, request)
	switch {
	case lease.Fallback:
	case lease.Broker.Name == "":
		c.broker.Release(now, request)
	default:
		wire.Post[ReleaseRequest, Empty](c.peers, lease.Broker.Address, releaseMethod, request)
	}
}

// brokers returns the daemons that may decide for a pool, by falling rank.
func (c *Client) brokers(pool PoolKey) []topo.Daemon {
	daemons := c.views.View().Daemons
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !sameList(daemons, c.daemons) {
		c.daemons = daemons
		clear(c.ranked)
	}
	ranked, known := c.ranked[pool]
	if !known {
		ranked = rankBrokers(pool, daemons)
		c.ranked[pool] = ranked
	}
	return ranked
}

// sameList reports whether two lists are one and the same.
func sameList(a, b []topo.Daemon) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func rankBrokers(pool PoolKey, daemons []topo.Daemon) []topo.Daemon {
	ranked := topo.RankDaemons(pool.rankKey(), daemons)
	return ranked[:min(len(ranked), brokerRanks)]
}

func toReply(decision choose.Decision) AskReply {
	switch decision := decision.(type) {
	case choose.Granted:
		return AskReply{Granted: &decision}
	case choose.Refused:
		return AskReply{Refused: &decision}
	default:
		return AskReply{}
	}
}
