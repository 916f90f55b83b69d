package broker

import "time"

// RegisterHold registers a grant that an entry or the previous broker reports. If
// the grant is known, it only moves it to the session of the report.
func (p *Pool) RegisterHold(now time.Time, hold Hold) {
	s, known := p.byName[hold.Upstream]
	if g, counted := p.grants[hold.ID]; counted {
		g.session = hold.Session
		return
	}
	if !known {
		return
	}
	p.addGrant(&grant{
		id:      hold.ID,
		session: hold.Session,
		server:  s,
		class:   hold.Class,
		expires: now.Add(hold.Budget + grantExpiryMargin),
	})
}

// RemoveSessionAsks removes the queued asks that were received over a closed
// connection.
func (p *Pool) RemoveSessionAsks(now time.Time, session uint64) []Action {
	for _, q := range p.queues {
		q.removeSession(session)
	}
	for i := len(p.suspects) - 1; i >= 0; i-- {
		if p.suspects[i].ask.Session == session {
			p.removeSuspect(i)
		}
	}
	return p.dispatch(now)
}

// ReleaseSessionGrants releases the grants of a closed connection that were not
// reported again over a newer one.
func (p *Pool) ReleaseSessionGrants(now time.Time, session uint64) []Action {
	for _, g := range p.grants {
		if g.session == session {
			p.removeGrant(g)
		}
	}
	return p.dispatch(now)
}

// Holds returns the active grants, to hand them over to the pool's next broker.
func (p *Pool) Holds(now time.Time) []Hold {
	holds := make([]Hold, 0, len(p.grants))
	for _, g := range p.sortedGrants() {
		holds = append(holds, Hold{
			ID:       g.id,
			Upstream: g.server.name,
			Class:    g.class,
			Budget:   g.expires.Add(-grantExpiryMargin).Sub(now),
		})
	}
	return holds
}
