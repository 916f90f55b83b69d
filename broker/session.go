package broker

import (
	"time"
)

// TakeHold counts a grant that an earlier broker gave.
func (p *Pool) TakeHold(now time.Time, hold Hold) {
	s, known := p.byName[hold.Upstream]
	if held, counted := p.grants[hold.ID]; counted {
		held.session = hold.Session
		return
	}
	if !known {
		return
	}
	p.begin(&grant{
		id:      hold.ID,
		session: hold.Session,
		server:  s,
		class:   hold.Class,
		expires: now.Add(hold.Budget + grantMargin),
	})
}

// SessionEnded forgets the asks that came over a connection that has ended.
func (p *Pool) SessionEnded(now time.Time, session uint64) []Action {
	for _, q := range p.queues {
		q.ofSession(session)
	}
	for i := len(p.suspects) - 1; i >= 0; i-- {
		if p.suspects[i].ask.Session == session {
			p.dropSuspect(i)
		}
	}
	return p.serve(now)
}

// SessionGone frees the grants of an ended connection that were not claimed
// over a newer one.
func (p *Pool) SessionGone(now time.Time, session uint64) []Action {
	for _, held := range p.grants {
		if held.session == session {
			p.end(held)
		}
	}
	return p.serve(now)
}

// Holds returns the grants in use, for the pool's next broker.
func (p *Pool) Holds(now time.Time) []Hold {
	holds := make([]Hold, 0, len(p.grants))
	for _, held := range p.sortedGrants() {
		holds = append(holds, Hold{
			ID:       held.id,
			Upstream: held.server.name,
			Class:    held.class,
			Budget:   held.expires.Add(-grantMargin).Sub(now),
		})
	}
	return holds
}
