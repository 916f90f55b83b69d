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

// maxPoolAsks limits the number of pools asked for one request.
const maxPoolAsks = 4

// releaseTimeout limits the wait for the broker to process a release before a
// retry.
const releaseTimeout = 300 * time.Millisecond

var errNoBroker = errors.New("no broker answered")

// Client requests slots from brokers. If no broker answers, it chooses an upstream
// itself.
type Client struct {
	members   *member.Service
	peers     *wire.Peers
	local     *Service
	log       *logrus.Entry
	seq       atomic.Uint64
	fallbacks atomic.Int64

	mutex    sync.Mutex
	views    map[string]*poolView
	leases   map[broker.GrantID]*Lease
	fallback *Fallback
}

// NewClient returns a client; local is the broker of this daemon, which is called
// directly.
func NewClient(members *member.Service, peers *wire.Peers, local *Service, seed uint64, log *logrus.Entry) *Client {
	c := &Client{
		members:  members,
		peers:    peers,
		local:    local,
		log:      log,
		views:    make(map[string]*poolView),
		leases:   make(map[broker.GrantID]*Lease),
		fallback: NewFallback(seed),
	}
	c.seq.Store(uint64(time.Now().UnixNano()))
	return c
}

// Acquire returns a lease, or a RefusedError if no slot was granted for the
// request.
func (c *Client) Acquire(ctx context.Context, request Request) (*Lease, error) {
	start := time.Now()
	lease, err := c.askPools(ctx, request)
	if errors.Is(err, errNoBroker) {
		lease, err = c.chooseWithoutBroker(request)
	}
	if err != nil {
		return nil, err
	}
	lease.Waited = time.Since(start)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leases[lease.id] = lease
	c.fallback.RequestStarted(lease.Upstream.Name)
	return lease, nil
}

// Release ends a lease and reports the result of its request. With wait it
// waits up to releaseTimeout for each reachable broker to process the release, so
// that the broker knows the result when the entry asks for a slot for the retry.
func (c *Client) Release(ctx context.Context, lease *Lease, result broker.Release, wait bool) {
	now := time.Now()
	c.mutex.Lock()
	delete(c.leases, lease.id)
	c.fallback.RequestEnded(now, lease.Upstream.Name, result.Load, result.Draining)
	brokers := lease.brokers
	c.mutex.Unlock()
	result.ID = lease.id
	request := ReleaseRequest{Pool: lease.pool, Release: result}
	for _, daemon := range brokers {
		c.sendRelease(ctx, daemon, request, wait)
	}
}

func (c *Client) sendRelease(ctx context.Context, daemon member.Daemon, request ReleaseRequest, wait bool) {
	switch {
	case daemon.Name == c.members.Self().Name:
		c.local.release(time.Now(), request)
	case wait && c.peers.Usable(daemon.Address):
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		_, _ = wire.Call[ReleaseRequest, Empty](ctx, c.peers, daemon.Address, releaseMethod, request)
	default:
		if !wire.Notify[ReleaseRequest, Empty](c.peers, daemon.Address, releaseMethod, request) {
			c.releaseToSuccessor(daemon, request)
		}
	}
}

// releaseToSuccessor sends a release to the pool's current broker when there is no
// connection to a broker that counts the lease, which may have handed the pool over.
func (c *Client) releaseToSuccessor(former member.Daemon, request ReleaseRequest) {
	owner, declared := c.local.tables.Table().Pool(request.Pool)
	if !declared {
		return
	}
	for _, daemon := range rankedBrokers(time.Now(), c.members, owner.Pool.Zone, request.Pool) {
		if daemon.Name == former.Name {
			continue
		}
		if daemon.Name == c.members.Self().Name {
			c.local.release(time.Now(), request)
			return
		}
		wire.Notify[ReleaseRequest, Empty](c.peers, daemon.Address, releaseMethod, request)
		return
	}
}

// askPools requests a slot from the pools of the service, those of this zone
// first, and follows redirections. It returns errNoBroker if no broker answered.
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
	for asks := 0; asks < maxPoolAsks && len(order) > 0; asks++ {
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
			return c.newLease(request, pool, asked, *reply.Granted, ask)
		case reply.Redirected != nil:
			ask.Redirected = true
			order = moveToFront(order, request.Service.Pools, reply.Redirected.Pool)
		case reply.Refused != nil && reply.Refused.Reason == broker.ReasonNoUpstream:
			refusal = &RefusedError{Reason: reply.Refused.Reason, RetryAfter: reply.Refused.RetryAfter}
		case reply.Refused != nil:
			return nil, &RefusedError{Reason: reply.Refused.Reason, RetryAfter: reply.Refused.RetryAfter}
		}
	}
	return nil, refusal
}

// newLease returns the lease for a grant. If the upstream is not in this daemon's
// configuration, it cancels the grant and returns errNoBroker.
func (c *Client) newLease(
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
				deadline:       request.Deadline,
				brokers:        []member.Daemon{asked},
			}, nil
		}
	}
	c.sendCancel(asked, pool.Key, granted.ID)
	return nil, errNoBroker
}

// poolOrder returns the pools of this daemon's zone followed by those of other
// zones. Both parts are rotated by seq to spread requests over the pools; the
// second part starts at an offset specific to this daemon and service.
func (c *Client) poolOrder(service *route.Service, seq uint64) []model.Pool {
	self := c.members.Self()
	var local, remote []model.Pool
	for _, pool := range service.Pools {
		if pool.Zone == self.Zone {
			local = append(local, pool)
			continue
		}
		remote = append(remote, pool)
	}
	return append(rotate(local, seq), rotate(remote, rank.Score(service.Name, self.Name)+seq)...)
}

func rotate(pools []model.Pool, by uint64) []model.Pool {
	if len(pools) == 0 {
		return nil
	}
	at := int(by % uint64(len(pools)))
	return append(append(make([]model.Pool, 0, len(pools)), pools[at:]...), pools[:at]...)
}

// moveToFront puts the pool with the given key at the front of the order, adding
// it if it is missing.
func moveToFront(order, pools []model.Pool, key string) []model.Pool {
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

// askPool requests a slot from the brokers of a pool in rank order until one
// decides.
func (c *Client) askPool(ctx context.Context, pool model.Pool, ask broker.Ask) (AskReply, member.Daemon, error) {
	for _, daemon := range rankedBrokers(time.Now(), c.members, pool.Zone, pool.Key) {
		reply, err := c.askBroker(ctx, daemon, pool.Key, ask)
		var unreachable *wire.UnreachableError
		var remote *wire.RemoteError
		switch {
		case errors.As(err, &unreachable), errors.As(err, &remote), errors.Is(err, errPoolNotDeclared):
			c.markUnsynced(pool.Key)
			continue
		case err != nil:
			c.sendCancel(daemon, pool.Key, ask.ID)
			return AskReply{}, daemon, err
		case reply.Leaving:
			c.members.MarkLeaving(time.Now(), daemon.Name)
			c.markUnsynced(pool.Key)
			continue
		}
		c.updateEjected(pool.Key, reply)
		return reply, daemon, nil
	}
	return AskReply{}, member.Daemon{}, errNoBroker
}

func (c *Client) askBroker(ctx context.Context, daemon member.Daemon, key string, ask broker.Ask) (AskReply, error) {
	request := AskRequest{Pool: key, Ask: ask, Holds: c.holdsToReport(key, daemon), OutVersion: c.ejectedVersion(key)}
	if daemon.Name != c.members.Self().Name {
		return wire.Call[AskRequest, AskReply](ctx, c.peers, daemon.Address, askMethod, request)
	}
	replies, err := c.local.ask(time.Now(), request)
	if err != nil {
		return AskReply{}, err
	}
	select {
	case reply := <-replies:
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
	wire.Notify[CancelRequest, Empty](c.peers, daemon.Address, cancelMethod, request)
}

// chooseWithoutBroker returns a lease for an upstream chosen by the fallback.
func (c *Client) chooseWithoutBroker(request Request) (*Lease, error) {
	c.fallbacks.Add(1)
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, pool := range c.poolOrder(request.Service, c.seq.Load()) {
		upstream, found := c.fallback.Choose(now, pool.Upstreams, c.exclusion(request, pool.Key))
		if found {
			return &Lease{
				Upstream: upstream,
				id:       broker.GrantID{Entry: c.members.Self().Name, Seq: c.seq.Add(1)},
				pool:     pool.Key,
				class:    request.Route.Class,
				deadline: request.Deadline,
			}, nil
		}
	}
	return nil, &RefusedError{Reason: broker.ReasonNoUpstream, RetryAfter: time.Second}
}

// exclusion returns a predicate for the upstreams of a pool that the fallback must
// not choose: those to avoid for this request, ejected or leaving. The caller holds
// the mutex.
func (c *Client) exclusion(request Request, key string) func(model.Upstream) bool {
	view := c.view(key)
	return func(upstream model.Upstream) bool {
		return slices.Contains(request.Avoid, upstream.Name) || slices.Contains(view.ejected, upstream.Name) ||
			c.members.UpstreamLeaving(upstream.Address)
	}
}
