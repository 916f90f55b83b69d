package wire

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// The times and bounds of connections to other daemons.
const (
	dialTimeout       = 300 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	heartbeatTimeout  = 300 * time.Millisecond
	idlePeriod        = 5 * time.Minute
	maxPending        = 4096
	firstRedial       = 100 * time.Millisecond
	maxRedial         = 2 * time.Second
)

var (
	errBusy = errors.New("too many calls wait")
	errLost = errors.New("connection is lost")
)

// Peers keeps one connection to each daemon that is called.
type Peers struct {
	meter *Meter

	mutex sync.Mutex
	peers map[netip.AddrPort]*peer
}

// NewPeers returns a set without connections.
func NewPeers(meter *Meter) *Peers {
	return &Peers{meter: meter, peers: make(map[netip.AddrPort]*peer)}
}

// Call sends one request to the daemon at the address and waits for the reply
// until the context ends. The failure of a path is an UnreachableError.
func Call[Request, Reply any](
	ctx context.Context, peers *Peers, address netip.AddrPort, method string, request Request,
) (Reply, error) {
	var reply Reply
	called := peers.of(address)
	client, err := called.connect(ctx, peers.meter)
	if err != nil {
		return reply, &UnreachableError{Address: address, Err: err}
	}
	if called.pending.Add(1) > maxPending {
		called.pending.Add(-1)
		return reply, &UnreachableError{Address: address, Err: errBusy}
	}
	defer called.pending.Add(-1)
	peers.meter.Calls.Add(1)
	answer := new(Reply)
	call := client.Go(method, request, answer, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if err := called.judge(method, client, call.Error); err != nil {
			return reply, err
		}
		return *answer, nil
	case <-ctx.Done():
		return reply, errors.Wrap(ctx.Err(), method)
	}
}

// Notify sends one request over an open connection and does not wait for the
// reply; it reports whether there was a connection.
func Notify[Request, Reply any](peers *Peers, address netip.AddrPort, method string, request Request) bool {
	client := peers.of(address).open()
	if client == nil {
		return false
	}
	peers.meter.Calls.Add(1)
	client.Go(method, request, new(Reply), make(chan *rpc.Call, 1))
	return true
}

// Usable reports whether a daemon can be called: nothing is known against it, or
// a heartbeat came back since its connection was lost.
func (p *Peers) Usable(address netip.AddrPort) bool {
	p.mutex.Lock()
	known, found := p.peers[address]
	p.mutex.Unlock()
	return !found || known.usable()
}

// Run sends heartbeats and tries lost daemons again until the context ends, and
// then closes all connections.
func (p *Peers) Run(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	var probes sync.WaitGroup
	defer probes.Wait()
	for {
		select {
		case <-ctx.Done():
			p.closeAll()
			return nil
		case now := <-ticker.C:
			for _, known := range p.all() {
				known.beat(now)
				if known.beginProbe(now) {
					probes.Go(func() { known.probe(ctx, p.meter) })
				}
			}
		}
	}
}

func (p *Peers) of(address netip.AddrPort) *peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known, found := p.peers[address]
	if !found {
		known = &peer{address: address}
		p.peers[address] = known
	}
	return known
}

func (p *Peers) all() []*peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	all := make([]*peer, 0, len(p.peers))
	for _, known := range p.peers {
		all = append(all, known)
	}
	return all
}

func (p *Peers) closeAll() {
	for _, known := range p.all() {
		known.fail(nil)
	}
}

// peer is the connection to one daemon. Once lost, the daemon is not called
// again until a heartbeat has come back from it, so that calls do not wait on a
// path that may be dead.
type peer struct {
	address netip.AddrPort
	pending atomic.Int64

	dialing sync.Mutex

	mutex    sync.Mutex
	client   *rpc.Client
	usedAt   time.Time
	beatAt   time.Time
	beatCall *rpc.Call
	lost     bool
	probing  bool
	failedAt time.Time
	redial   time.Duration
}

// connect returns the open connection, or dials, one caller at a time.
func (p *peer) connect(ctx context.Context, meter *Meter) (*rpc.Client, error) {
	if client := p.open(); client != nil {
		return client, nil
	}
	p.dialing.Lock()
	defer p.dialing.Unlock()
	if client := p.open(); client != nil {
		return client, nil
	}
	if !p.usable() {
		return nil, errLost
	}
	client, err := p.dial(ctx, meter)
	if err != nil {
		if ctx.Err() == nil {
			p.fail(nil)
		}
		return nil, err
	}
	p.use(client)
	return client, nil
}

func (p *peer) dial(ctx context.Context, meter *Meter) (*rpc.Client, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.address.String())
	if err != nil {
		return nil, err
	}
	return rpc.NewClient(meteredConn{Conn: conn, meter: meter}), nil
}

func (p *peer) use(client *rpc.Client) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.client = client
	p.usedAt = time.Now()
	p.beatCall = nil
	p.lost = false
}

// beginProbe reports whether a lost daemon is to be tried now.
func (p *peer) beginProbe(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.lost || p.probing || now.Sub(p.failedAt) < p.redial {
		return false
	}
	p.probing = true
	return true
}

// probe dials a lost daemon and uses it again once a heartbeat came back.
func (p *peer) probe(ctx context.Context, meter *Meter) {
	defer func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.probing = false
	}()
	client, err := p.dial(ctx, meter)
	if err != nil {
		p.fail(nil)
		return
	}
	beat := client.Go(pingMethod, Heartbeat{}, &Heartbeat{}, make(chan *rpc.Call, 1))
	timer := time.NewTimer(heartbeatTimeout)
	defer timer.Stop()
	select {
	case <-beat.Done:
		if beat.Error == nil && ctx.Err() == nil {
			p.use(client)
			return
		}
	case <-timer.C:
	case <-ctx.Done():
	}
	_ = client.Close()
	p.fail(nil)
}

func (p *peer) open() *rpc.Client {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.client != nil {
		p.usedAt = time.Now()
	}
	return p.client
}

func (p *peer) usable() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !p.lost
}

// judge tells a refusal by the other daemon from the failure of the path.
func (p *peer) judge(method string, client *rpc.Client, err error) error {
	if err == nil {
		p.mutex.Lock()
		p.redial = 0
		p.mutex.Unlock()
		return nil
	}
	var refused rpc.ServerError
	if errors.As(err, &refused) {
		return &RemoteError{Method: method, Message: string(refused)}
	}
	p.fail(client)
	return &UnreachableError{Address: p.address, Err: err}
}

// fail closes the connection, unless a newer one has replaced the given
// client, and waits longer before the next dial.
func (p *peer) fail(client *rpc.Client) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if client == nil || p.client == client {
		p.closeLocked()
	}
}

func (p *peer) closeLocked() {
	if p.client != nil {
		_ = p.client.Close()
		p.client = nil
	}
	p.beatCall = nil
	p.lost = true
	p.failedAt = time.Now()
	p.redial = min(max(2*p.redial, firstRedial), maxRedial)
}

// beat sends a heartbeat while calls wait, and closes the connection when the
// last one has not come back or nothing used it for long.
func (p *peer) beat(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.client == nil {
		return
	}
	if p.beatCall != nil && !p.beatReturned() {
		if now.Sub(p.beatAt) > heartbeatTimeout {
			p.closeLocked()
		}
		return
	}
	switch {
	case p.pending.Load() > 0:
		p.beatCall = p.client.Go(pingMethod, Heartbeat{}, &Heartbeat{}, make(chan *rpc.Call, 1))
		p.beatAt = now
	case now.Sub(p.usedAt) > idlePeriod:
		_ = p.client.Close()
		p.client = nil
	}
}

// beatReturned reports whether the last heartbeat came back, and forgets it
// then.
func (p *peer) beatReturned() bool {
	select {
	case <-p.beatCall.Done:
		p.beatCall = nil
		return true
	default:
		return false
	}
}
