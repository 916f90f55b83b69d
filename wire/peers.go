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

// Timeouts and limits of connections to other daemons.
const (
	dialTimeout       = 300 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	heartbeatTimeout  = 300 * time.Millisecond
	// holdInterval is how long nothing may be sent over a held connection before a
	// heartbeat is. Most attempts end earlier, so that few cost one.
	holdInterval    = 300 * time.Millisecond
	idleTimeout     = 5 * time.Minute
	maxPendingCalls = 4096
	minRedialDelay  = 100 * time.Millisecond
	maxRedialDelay  = 2 * time.Second
	// maxProbes bounds the lost daemons that are dialed at the same time.
	maxProbes = 16
)

var (
	errTooManyPending = errors.New("too many pending calls")
	errConnectionLost = errors.New("connection lost")
)

// Peers keeps one connection to each daemon that this process has called.
type Peers struct {
	meter *Meter

	mutex sync.Mutex
	peers map[netip.AddrPort]*peer

	probing atomic.Int64
}

// NewPeers returns a set without connections. The meter counts its traffic.
func NewPeers(meter *Meter) *Peers {
	return &Peers{meter: meter, peers: make(map[netip.AddrPort]*peer)}
}

// Call sends a request to the daemon at the address and waits for the reply until
// the context ends. It returns an UnreachableError if the daemon cannot be
// reached or too many calls to it are pending, and a RemoteError if the daemon
// returns an error.
func Call[Request, Reply any](
	ctx context.Context, peers *Peers, address netip.AddrPort, method string, request Request,
) (Reply, error) {
	var reply Reply
	target := peers.get(address)
	client, err := target.connect(ctx, peers.meter)
	if err != nil {
		return reply, &UnreachableError{Address: address, Err: err}
	}
	if target.pendingCalls.Add(1) > maxPendingCalls {
		target.pendingCalls.Add(-1)
		return reply, &UnreachableError{Address: address, Err: errTooManyPending}
	}
	defer target.pendingCalls.Add(-1)
	peers.meter.Calls.Add(1)
	result := new(Reply)
	call := client.Go(method, request, result, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if err := target.finishCall(method, client, call.Error); err != nil {
			return reply, err
		}
		return *result, nil
	case <-ctx.Done():
		return reply, errors.Wrap(ctx.Err(), method)
	}
}

// Ping returns nil if the daemon at the address replies to a heartbeat before the context
// ends.
func Ping(ctx context.Context, peers *Peers, address netip.AddrPort) error {
	_, err := Call[Heartbeat, Heartbeat](ctx, peers, address, pingMethod, Heartbeat{})
	return err
}

// Notify sends a request over an existing connection without waiting for the
// reply. It reports whether there was a connection.
func Notify[Request, Reply any](peers *Peers, address netip.AddrPort, method string, request Request) bool {
	client := peers.get(address).currentClient()
	if client == nil {
		return false
	}
	peers.meter.Calls.Add(1)
	client.Go(method, request, new(Reply), make(chan *rpc.Call, 1))
	return true
}

// Usable reports whether a daemon can be called: its connection has not been
// lost, or it has replied to a heartbeat since then.
func (p *Peers) Usable(address netip.AddrPort) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known, found := p.peers[address]
	if !found {
		return true
	}
	known.want(time.Now())
	return known.usable()
}

// Hold makes Run send a request to a daemon as the heartbeat, at once over each new
// connection and then while nothing else is sent, until release is called. So the daemon
// notices if this one is lost, and whose a new connection is. All holds of a daemon must send
// the same request.
func Hold[Request, Reply any](peers *Peers, address netip.AddrPort, method string, request Request) (release func()) {
	held := peers.get(address)
	held.hold(func(client *rpc.Client) *rpc.Call {
		return client.Go(method, request, new(Reply), make(chan *rpc.Call, 1))
	})
	return sync.OnceFunc(held.unhold)
}

// Reach is what is known of the way to a daemon.
type Reach uint8

// The values of Reach.
const (
	// Untried means that the daemon has neither responded nor failed to.
	Untried Reach = iota
	// Reached means that the daemon can be called.
	Reached
	// Lost means that the daemon cannot be called until it replies to a heartbeat.
	Lost
)

// Probe returns whether a daemon is reached. In contrast to Usable, it does not call an
// untried one reached, but makes Run dial it in the background.
func (p *Peers) Probe(address netip.AddrPort) Reach {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known, found := p.peers[address]
	if !found {
		known = &peer{address: address, lost: true, untried: true}
		p.peers[address] = known
	}
	known.want(time.Now())
	return known.reach()
}

// LostFor returns the daemons that have been lost for some period. There are none while no
// daemon at all is in reach, since this one may be the one that is cut off.
func (p *Peers) LostFor(now time.Time, period time.Duration) map[netip.AddrPort]struct{} {
	lost := make(map[netip.AddrPort]struct{})
	connected := false
	for _, known := range p.list() {
		known.mutex.Lock()
		connected = connected || known.client != nil
		if known.lost && !known.untried && now.Sub(known.lostSince) >= period {
			lost[known.address] = struct{}{}
		}
		known.mutex.Unlock()
	}
	if !connected {
		return nil
	}
	return lost
}

// Run sends heartbeats and reconnects to lost daemons until the context ends, and
// then closes all connections. It forgets lost daemons that nobody asks for.
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
			p.forget(now)
			for _, known := range p.list() {
				known.checkHeartbeat(now)
				if p.probing.Load() < maxProbes && known.beginProbe(now) {
					p.probing.Add(1)
					probes.Go(func() {
						defer p.probing.Add(-1)
						known.probe(ctx, p.meter)
					})
				}
			}
		}
	}
}

// get returns the peer at the address and adds it if it is new.
func (p *Peers) get(address netip.AddrPort) *peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known, found := p.peers[address]
	if !found {
		known = &peer{address: address}
		p.peers[address] = known
	}
	known.want(time.Now())
	return known
}

// forget drops the daemons without a connection that nobody has asked for lately.
func (p *Peers) forget(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, known := range p.peers {
		if known.isForgotten(now) {
			delete(p.peers, address)
		}
	}
}

func (p *Peers) list() []*peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := make([]*peer, 0, len(p.peers))
	for _, known := range p.peers {
		list = append(list, known)
	}
	return list
}

func (p *Peers) closeAll() {
	for _, known := range p.list() {
		known.markLost(nil)
	}
}

// peer is the connection to one daemon. Once the connection is lost, the daemon is
// not called again until it replies to a heartbeat, so that calls do not wait on a
// network path that may still be broken.
type peer struct {
	address      netip.AddrPort
	pendingCalls atomic.Int64

	dialing sync.Mutex

	mutex           sync.Mutex
	client          *rpc.Client
	wantedAt        time.Time
	usedAt          time.Time
	heartbeatSentAt time.Time
	heartbeat       *rpc.Call
	holds           int
	sendHeld        func(client *rpc.Client) *rpc.Call
	isNew           bool
	lost            bool
	untried         bool
	probing         bool
	lostSince       time.Time
	lostAt          time.Time
	redialDelay     time.Duration
}

// connect returns the current connection, or dials. Only one goroutine dials at a
// time.
func (p *peer) connect(ctx context.Context, meter *Meter) (*rpc.Client, error) {
	if client := p.currentClient(); client != nil {
		return client, nil
	}
	p.dialing.Lock()
	defer p.dialing.Unlock()
	if client := p.currentClient(); client != nil {
		return client, nil
	}
	if !p.usable() {
		return nil, errConnectionLost
	}
	client, err := p.dial(ctx, meter)
	if err != nil {
		if ctx.Err() == nil {
			p.markLost(nil)
		}
		return nil, err
	}
	p.setClient(client)
	return client, nil
}

func (p *peer) dial(ctx context.Context, meter *Meter) (*rpc.Client, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.address.String())
	if err != nil {
		return nil, err
	}
	return rpc.NewClient(&boundedConn{Conn: meteredConn{Conn: conn, meter: meter}}), nil
}

func (p *peer) setClient(client *rpc.Client) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.client = client
	p.usedAt = time.Now()
	p.heartbeat = nil
	p.isNew, p.lost, p.untried = true, false, false
}

func (p *peer) hold(send func(client *rpc.Client) *rpc.Call) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.holds++
	p.sendHeld = send
}

func (p *peer) unhold() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.holds--
}

// beginProbe reports whether a probe of a lost daemon is due, and marks it as
// started.
func (p *peer) beginProbe(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.lost || p.probing || now.Sub(p.lostAt) < p.redialDelay {
		return false
	}
	p.probing = true
	return true
}

// probe dials a lost daemon and makes it usable again if it replies to a heartbeat.
func (p *peer) probe(ctx context.Context, meter *Meter) {
	defer func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.probing = false
	}()
	client, err := p.dial(ctx, meter)
	if err != nil {
		p.markLost(nil)
		return
	}
	heartbeat := client.Go(pingMethod, Heartbeat{}, &Heartbeat{}, make(chan *rpc.Call, 1))
	timer := time.NewTimer(heartbeatTimeout)
	defer timer.Stop()
	select {
	case <-heartbeat.Done:
		if heartbeat.Error == nil && ctx.Err() == nil {
			p.setClient(client)
			return
		}
	case <-timer.C:
	case <-ctx.Done():
	}
	_ = client.Close()
	p.markLost(nil)
}

// currentClient returns the open connection, or nil, and counts as a use of it.
func (p *peer) currentClient() *rpc.Client {
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

func (p *peer) reach() Reach {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case p.untried:
		return Untried
	case p.lost:
		return Lost
	default:
		return Reached
	}
}

// want records that somebody asks for the daemon.
func (p *peer) want(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.wantedAt = now
}

// isForgotten reports whether the daemon has no connection and nobody has asked for it
// within idleTimeout.
func (p *peer) isForgotten(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.client == nil && !p.probing && now.Sub(p.wantedAt) > idleTimeout
}

// finishCall resets the redial delay after a successful call. An error that the
// other daemon returned becomes a RemoteError; for any other error the connection
// is marked as lost.
func (p *peer) finishCall(method string, client *rpc.Client, err error) error {
	if err == nil {
		p.mutex.Lock()
		p.redialDelay = 0
		p.mutex.Unlock()
		return nil
	}
	var serverError rpc.ServerError
	if errors.As(err, &serverError) {
		return &RemoteError{Method: method, Message: string(serverError)}
	}
	p.markLost(client)
	return &UnreachableError{Address: p.address, Err: err}
}

// markLost closes the connection and increases the delay before the next dial. It
// does nothing if a client is given that is no longer the current one.
func (p *peer) markLost(client *rpc.Client) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if client == nil || p.client == client {
		p.markLostLocked()
	}
}

func (p *peer) markLostLocked() {
	if p.client != nil {
		_ = p.client.Close()
		p.client = nil
	}
	p.heartbeat = nil
	p.lostAt = time.Now()
	if !p.lost || p.untried {
		p.lostSince = p.lostAt
	}
	p.lost, p.untried = true, false
	p.redialDelay = min(max(2*p.redialDelay, minRedialDelay), maxRedialDelay)
}

// checkHeartbeat marks the connection as lost if the pending heartbeat has timed
// out. Otherwise it sends a heartbeat while calls are pending or the connection is held, or
// closes one that has been idle for too long.
func (p *peer) checkHeartbeat(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.client == nil {
		return
	}
	if p.heartbeat != nil && !p.heartbeatReturned() {
		if now.Sub(p.heartbeatSentAt) > heartbeatTimeout {
			p.markLostLocked()
		}
		return
	}
	if p.client == nil {
		return
	}
	isHeld := p.holds > 0
	idle := min(now.Sub(p.usedAt), now.Sub(p.heartbeatSentAt))
	switch {
	case isHeld && (p.isNew || idle >= holdInterval):
		p.heartbeat = p.sendHeld(p.client)
		p.heartbeatSentAt, p.isNew = now, false
	case p.pendingCalls.Load() > 0:
		p.heartbeat = p.client.Go(pingMethod, Heartbeat{}, &Heartbeat{}, make(chan *rpc.Call, 1))
		p.heartbeatSentAt = now
	case !isHeld && now.Sub(p.usedAt) > idleTimeout:
		_ = p.client.Close()
		p.client = nil
	}
}

// heartbeatReturned reports whether the pending heartbeat has ended, and clears it
// if so. If the connection has ended, it marks it as lost: without pending calls, nothing
// else notices that.
func (p *peer) heartbeatReturned() bool {
	select {
	case <-p.heartbeat.Done:
		err := p.heartbeat.Error
		p.heartbeat = nil
		var serverError rpc.ServerError
		if err != nil && !errors.As(err, &serverError) {
			p.markLostLocked()
		}
		return true
	default:
		return false
	}
}
