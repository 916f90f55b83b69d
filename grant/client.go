package grant

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"dandeliondoor/broker"
	"dandeliondoor/member"
	"dandeliondoor/model"
	"dandeliondoor/rank"
	"dandeliondoor/route"
	"dandeliondoor/wire"
)

// maxHops bounds the pools that are asked for one request.
const maxHops = 4

// releaseTimeout bounds a release that has to be heard before a retry.
const releaseTimeout = 300 * time.Millisecond

var errNoBroker = errors.New("no broker answered")

// Client asks brokers for slots and falls back to this entry's own choice.
type Client struct {
	members *member.Service
	peers   *wire.Peers
	local   *Service
	log     *logrus.Entry
	seq     atomic.Uint64
	fallen  atomic.Int64

	mutex    sync.Mutex
	views    map[string]*poolView
	held     map[broker.GrantID]*Lease
	fallback *Fallback
}

// NewClient returns a client; local is this daemon's own broker.
func NewClient(members *member.Service, peers *wire.Peers, local *Service, seed uint64, log *logrus.Entry) *Client {
	c := &Client{
		members:  members,
		peers:    peers,
		local:    local,
		log:      log,
		views:    make(map[string]*poolView),
		held:     make(map[broker.GrantID]*Lease),
		fallback: NewFallback(seed),
	}
	c.seq.Store(uint64(time.Now().UnixNano()))
	return c
}

// Acquire returns a lease, or a RefusedError when the request cannot be served
// in time.
func (c *Client) Acquire(ctx context.Context, request Request) (*Lease, error) {
	began := time.Now()
	lease, err := c.askPools(ctx, request)
	if errors.Is(err, errNoBroker) {
		lease, err = c.chooseAlone(request)
	}
	if err != nil {
		return nil, err
	}
	lease.Waited = time.Since(began)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.held[lease.id] = lease
	c.fallback.Began(lease.Upstream.Name)
	return lease, nil
}

// Release ends a lease with what was seen; heard waits until the broker has
// it, so that a retry finds it known.
func (c *Client) Release(ctx context.Context, lease *Lease, seen broker.Release, heard bool) {
	now := time.Now()
	c.mutex.Lock()
	delete(c.held, lease.id)
	c.fallback.Ended(now, lease.Upstream.Name, seen.Load, seen.Draining)
	brokers := lease.brokers
	c.mutex.Unlock()
	seen.ID = lease.id
	request := ReleaseRequest{Pool: lease.pool, Release: seen}
	for _, daemon := range brokers {
		c.sendRelease(ctx, daemon, request, heard)
	}
}

func (c *Client) sendRelease(ctx context.Context, daemon member.Daemon, request ReleaseRequest, heard bool) {
	switch {
	case daemon.Name == c.members.Self().Name:
		c.local.release(time.Now(), request)
	case heard && c.peers.Usable(daemon.Address):
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		_, _ = wire.Call[ReleaseRequest, Empty](ctx, c.peers, daemon.Address, releaseMethod, request)
	default:
		if !wire.Post[ReleaseRequest, Empty](c.peers, daemon.Address, releaseMethod, request) {
			c.releaseToNext(daemon, request)
		}
	}
}

// releaseToNext sends a release whose broker is gone to the pool's present one,
// which that broker may have handed the pool to.
func (c *Client) releaseToNext(gone member.Daemon, request ReleaseRequest) {
	owner, declared := c.local.tables.Table().Pool(request.Pool)
	if !declared {
		return
	}
	for _, daemon := range brokersOf(time.Now(), c.members, owner.Pool.Zone, request.Pool) {
		if daemon.Name == gone.Name {
			continue
		}
		if daemon.Name == c.members.Self().Name {
			c.local.release(time.Now(), request)
			return
		}
		wire.Post[ReleaseRequest, Empty](c.peers, daemon.Address, releaseMethod, request)
		return
	}
}

// askPools asks the pools of the service, the nearest first, and follows
// redirections.
func (c *Client) askPools(ctx context.Context, request Request) (*Lease, error) {
	ask := broker.Ask{
		ID:          broker.GrantID{Entry: c.members.Self().Name, Seq: c.seq.Add(1)},
		Route:       request.Route.Name,
		Class:       request.Route.Class,
		Account:     request.Account,
		Repeatable:  request.Repeatable,
		Avoid:       request.Avoid,
		Fingerprint: request.Fingerprint,
		Suspect:     request.Suspect,
	}
	order := c.poolOrder(request.Service, ask.ID.Seq)
	refusal := errNoBroker
	for hop := 0; hop < maxHops && len(order) > 0; hop++ {
		pool := order[0]
		order = order[1:]
		ask.Budget = time.Until(request.Deadline)
		reply, asked, err := c.askPool(ctx, pool, ask)
		switch {
		case errors.Is(err, errNoBroker):
			continue
		case err != nil:
			return nil, err
		case reply.Granted != nil:
			return c.leaseOf(request, pool, asked, *reply.Granted, ask)
		case reply.Redirected != nil:
			ask.Redirected = true
			order = putFirst(order, request.Service.Pools, reply.Redirected.Pool)
		case reply.Refused != nil && reply.Refused.Reason == broker.ReasonNoUpstream:
			refusal = &RefusedError{Reason: reply.Refused.Reason, RetryAfter: reply.Refused.RetryAfter}
		case reply.Refused != nil:
			return nil, &RefusedError{Reason: reply.Refused.Reason, RetryAfter: reply.Refused.RetryAfter}
		}
	}
	return nil, refusal
}

func (c *Client) leaseOf(
	request Request, pool model.Pool, asked member.Daemon, granted broker.Granted, ask broker.Ask,
) (*Lease, error) {
	for _, upstream := range pool.Upstreams {
		if upstream.Name == granted.Upstream {
			return &Lease{
				Upstream:       upstream,
				KeepConnection: granted.Keep,
				Brokered:       true,
				id:             granted.ID,
				pool:           pool.Key,
				class:          ask.Class,
				until:          request.Deadline,
				brokers:        []member.Daemon{asked},
			}, nil
		}
	}
	c.sendCancel(asked, pool.Key, granted.ID)
	return nil, errNoBroker
}

// poolOrder puts the pools of this daemon's zone first, in turn, then the
// others in an order of this daemon's own.
func (c *Client) poolOrder(service *route.Service, seq uint64) []model.Pool {
	self := c.members.Self()
	var near, far []model.Pool
	for _, pool := range service.Pools {
		if pool.Zone == self.Zone {
			near = append(near, pool)
			continue
		}
		far = append(far, pool)
	}
	return append(rotate(near, seq), rotate(far, rank.Score(service.Name, self.Name)+seq)...)
}

func rotate(pools []model.Pool, by uint64) []model.Pool {
	if len(pools) == 0 {
		return nil
	}
	at := int(by % uint64(len(pools)))
	return append(append(make([]model.Pool, 0, len(pools)), pools[at:]...), pools[:at]...)
}

// putFirst moves a pool to the front of the order.
func putFirst(order, pools []model.Pool, key string) []model.Pool {
	var first []model.Pool
	for _, pool := range pools {
		if pool.Key == key {
			first = append(first, pool)
		}
	}
	for _, pool := range order {
		if pool.Key != key {
			first = append(first, pool)
		}
	}
	return first
}

// askPool asks the ranked brokers of a pool until one answers.
func (c *Client) askPool(ctx context.Context, pool model.Pool, ask broker.Ask) (AskReply, member.Daemon, error) {
	for _, daemon := range brokersOf(time.Now(), c.members, pool.Zone, pool.Key) {
		reply, err := c.askBroker(ctx, daemon, pool.Key, ask)
		var unreachable *wire.UnreachableError
		var remote *wire.RemoteError
		switch {
		case errors.As(err, &unreachable), errors.As(err, &remote), errors.Is(err, errNoPool):
			c.unsync(pool.Key)
			continue
		case err != nil:
			c.sendCancel(daemon, pool.Key, ask.ID)
			return AskReply{}, daemon, err
		case reply.Leaving:
			c.members.MarkLeaving(time.Now(), daemon.Name)
			c.unsync(pool.Key)
			continue
		}
		c.learnOut(pool.Key, reply)
		return reply, daemon, nil
	}
	return AskReply{}, member.Daemon{}, errNoBroker
}

func (c *Client) askBroker(ctx context.Context, daemon member.Daemon, key string, ask broker.Ask) (AskReply, error) {
	request := AskRequest{Pool: key, Ask: ask, Holds: c.holdsFor(key, daemon), OutVersion: c.outVersion(key)}
	if daemon.Name != c.members.Self().Name {
		return wire.Call[AskRequest, AskReply](ctx, c.peers, daemon.Address, askMethod, request)
	}
	decided, err := c.local.ask(time.Now(), request)
	if err != nil {
		return AskReply{}, err
	}
	select {
	case reply := <-decided:
		return reply, nil
	case <-ctx.Done():
		return AskReply{}, ctx.Err()
	}
}

func (c *Client) sendCancel(daemon member.Daemon, key string, id broker.GrantID) {
	request := CancelRequest{Pool: key, ID: id}
	if daemon.Name == c.members.Self().Name {
		c.local.cancel(time.Now(), request)
		return
	}
	wire.Post[CancelRequest, Empty](c.peers, daemon.Address, cancelMethod, request)
}

// chooseAlone returns a lease without a broker.
func (c *Client) chooseAlone(request Request) (*Lease, error) {
	c.fallen.Add(1)
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, pool := range c.poolOrder(request.Service, c.seq.Load()) {
		upstream, found := c.fallback.Choose(now, pool.Upstreams, c.excluded(request, pool.Key))
		if found {
			return &Lease{
				Upstream: upstream,
				id:       broker.GrantID{Entry: c.members.Self().Name, Seq: c.seq.Add(1)},
				pool:     pool.Key,
				class:    request.Route.Class,
				until:    request.Deadline,
			}, nil
		}
	}
	return nil, &RefusedError{Reason: broker.ReasonNoUpstream, RetryAfter: time.Second}
}

// excluded tells which upstreams of a pool this entry does not choose itself.
func (c *Client) excluded(request Request, key string) func(model.Upstream) bool {
	view := c.view(key)
	return func(upstream model.Upstream) bool {
		return slices.Contains(request.Avoid, upstream.Name) || slices.Contains(view.out, upstream.Name) ||
			c.members.UpstreamLeaving(upstream.Address)
	}
}
