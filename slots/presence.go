package slots

import (
	"math"
	"time"

	"dandeliondoor/wire"
)

const (
	// silenceLimit is how long nothing may have been received from a daemon while an ask of
	// it waits. Meanwhile it sends a heartbeat every 0.1 s, and gives up a connection on which
	// there is no reply for 0.3 s.
	silenceLimit = 500 * time.Millisecond
	// heldSilenceLimit is the same while only attempts run: a heartbeat is then sent after
	// 0.3 s, and is up to 0.1 s late. Two more may be.
	heldSilenceLimit = time.Second
	// returnLimit is how long after the end of its last connection a daemon may open a new
	// one before it is lost. It dials after 0.1 s, and again 0.2 s after a failure.
	returnLimit = 500 * time.Millisecond
	// presenceInterval is how often the brokers look for lost daemons.
	presenceInterval = 100 * time.Millisecond
	// stallLimit is the time between two looks from which this process was stalled. What
	// other daemons sent meanwhile may not have been read, so none is lost in the next
	// stallRest.
	stallLimit = 300 * time.Millisecond
	stallRest  = 300 * time.Millisecond
	// presenceRetention is how long a daemon that is not heard is remembered. No deadline
	// of its attempts is later.
	presenceRetention = 2 * time.Minute
)

// presence is what a broker knows of a daemon that shows that it lives while its attempts
// run. First is the first ticket of its process, and heardAt when it was last heard on a
// connection that has ended.
type presence struct {
	first    uint64
	sessions map[*wire.Session]struct{}
	heardAt  time.Time
	lost     bool
}

// silence returns the time since anything was received from the daemon.
func (p *presence) silence(now time.Time) time.Duration {
	silence := now.Sub(p.heardAt)
	for session := range p.sessions {
		silence = min(silence, session.Silence(now))
	}
	return silence
}

// isLost reports whether the daemon is lost.
func (p *presence) isLost(now time.Time) bool {
	limit := heldSilenceLimit
	if len(p.sessions) == 0 {
		limit = returnLimit
	}
	return p.silence(now) >= limit
}

// presences are the daemons by name. JudgedAt is when the broker last looked for lost ones,
// and restUntil the time before which it finds none.
type presences struct {
	daemons   map[string]*presence
	judgedAt  time.Time
	restUntil time.Time
}

// Hear records that a daemon has sent a call over a connection. First is the first ticket
// of its process, 0 if it does not show that it lives while its attempts run. The
// attempts of its former processes take no room any more.
func (b *Broker) Hear(now time.Time, daemon string, first uint64, session *wire.Session) {
	if !b.Queues() || first == 0 {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	p, known := b.presences.daemons[daemon]
	switch {
	case !known:
		p = &presence{sessions: make(map[*wire.Session]struct{})}
		b.presences.daemons[daemon] = p
	case first < p.first && !p.lost:
		// A late call of the former process, or the clock of the new one began earlier.
		return
	}
	isReturn := p.lost || first > p.first
	p.first, p.heardAt, p.lost = first, now, false
	select {
	case <-session.Ended():
	default:
		p.sessions[session] = struct{}{}
	}
	if isReturn {
		b.setLost(now, daemon, first)
	}
}

// Leave removes the asks that came over a connection that has ended.
func (b *Broker) Leave(now time.Time, session *wire.Session) {
	b.removeIf(func(w *waiter) bool { return w.session == session })
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, p := range b.presences.daemons {
		if _, isOf := p.sessions[session]; isOf {
			delete(p.sessions, session)
			p.heardAt = now.Add(-min(now.Sub(p.heardAt), session.Silence(now)))
		}
	}
}

// judge looks for lost daemons and gives back the room of their asks and attempts.
func (b *Broker) judge(now time.Time) {
	since := now.Sub(b.presences.judgedAt)
	if since < presenceInterval {
		return
	}
	b.presences.judgedAt = now
	if since > stallLimit {
		b.presences.restUntil = now.Add(stallRest)
	}
	if now.Before(b.presences.restUntil) {
		return
	}
	for name, p := range b.presences.daemons {
		switch {
		case p.silence(now) > presenceRetention:
			delete(b.presences.daemons, name)
		case p.lost == p.isLost(now):
		case p.lost:
			p.lost = false
			b.setLost(now, name, p.first)
		default:
			p.lost = true
			b.removeWaiters(func(w *waiter) bool { return w.session != nil && w.request.Ask.Daemon == name })
			b.metrics.addLost(b.setLost(now, name, math.MaxUint64))
		}
	}
}

// setLost gives back the room of the attempts of a daemon whose tickets precede first, and
// returns how many they are.
func (b *Broker) setLost(now time.Time, daemon string, first uint64) int {
	count := 0
	for key, pool := range b.pools {
		if lost := pool.SetLost(daemon, first); lost > 0 {
			count += lost
			b.dispatch(now, key, pool)
		}
	}
	return count
}
