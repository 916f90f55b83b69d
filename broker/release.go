package broker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dandeliondoor/crash"
	"dandeliondoor/health"
)

// Cancel removes a queued ask or ends a grant that the entry has abandoned.
func (p *Pool) Cancel(now time.Time, id GrantID) []Action {
	for _, q := range p.queues {
		if q.remove(id) {
			return nil
		}
	}
	for i, candidate := range p.suspects {
		if candidate.ask.ID == id {
			p.removeSuspect(i)
			return p.dispatch(now)
		}
	}
	if g, known := p.grants[id]; known {
		p.removeGrant(g)
		return p.dispatch(now)
	}
	return nil
}

// Release ends a grant and updates durations, crash records and health from its
// outcome.
func (p *Pool) Release(now time.Time, release Release) []Action {
	g, known := p.grants[release.ID]
	if !known {
		return nil
	}
	p.removeGrant(g)
	excluded := p.excludedFromHealth(g, release.Outcome)
	actions := p.recordOutcome(now, g, release.Outcome)
	if release.Outcome == health.Success {
		p.estimator.recordCompletion(g.route, g.class, release.Duration)
	}
	p.updateServer(now, g.server, release)
	verdicts := p.tracker.SetLeaving(g.server.name, g.server.leaving())
	if release.Warming {
		verdicts = append(verdicts, p.tracker.SetCold(now, g.server.name)...)
	}
	if !excluded {
		verdicts = append(verdicts, p.tracker.Observe(now, health.Sample{
			Upstream: g.server.name,
			Reporter: g.id.Entry,
			Route:    g.route,
			Outcome:  release.Outcome,
			Duration: release.Latency,
		})...)
	}
	actions = append(actions, healthActions(verdicts)...)
	return append(actions, p.dispatch(now)...)
}

// excludedFromHealth reports whether a lost connection must not count against the
// upstream's health: the request ran in isolation as a suspect, or was in flight
// during a crash that another request has already reported.
func (p *Pool) excludedFromHealth(g *grant, outcome health.Outcome) bool {
	return outcome == health.Lost && (g.isolated || g.crashRecorded)
}

func (p *Pool) updateServer(now time.Time, s *server, release Release) {
	if release.Load >= 0 {
		s.load = release.Load
	}
	if release.Outcome == health.Success || release.Draining {
		s.reportedDraining = release.Draining
	}
	if release.Outcome == health.Shed {
		s.pausedUntil = now.Add(shedBackoff)
	}
}

// recordOutcome clears the fingerprint of a request that succeeded. If the
// upstream was lost, it records a crash for the request and for all others in
// flight on that upstream.
func (p *Pool) recordOutcome(now time.Time, g *grant, outcome health.Outcome) []Action {
	switch outcome {
	case health.Success:
		p.crashes.RecordSuccess(g.fingerprint)
		return nil
	case health.Lost:
	default:
		return nil
	}
	if g.crashRecorded {
		return nil
	}
	g.crashRecorded = g.fingerprint != 0
	actions := p.recordCrash(now, g)
	for _, other := range p.sortedGrants() {
		if other.server == g.server && !other.crashRecorded && other.fingerprint != 0 {
			other.crashRecorded = true
			actions = append(actions, p.recordCrash(now, other)...)
		}
	}
	return actions
}

// sortedGrants returns the grants ordered by ID, so that decisions don't depend on
// map iteration order.
func (p *Pool) sortedGrants() []*grant {
	sorted := slices.Collect(maps.Values(p.grants))
	slices.SortFunc(sorted, func(a, b *grant) int {
		return cmp.Or(cmp.Compare(a.id.Entry, b.id.Entry), cmp.Compare(a.id.Seq, b.id.Seq))
	})
	return sorted
}

func (p *Pool) recordCrash(now time.Time, g *grant) []Action {
	standing := p.crashes.RecordCrash(now, g.fingerprint, g.isolated)
	if standing == crash.Clear {
		return nil
	}
	return []Action{FingerprintReported{Fingerprint: g.fingerprint, Standing: standing}}
}

// LearnFingerprint records the standing of a fingerprint reported by a sibling
// pool.
func (p *Pool) LearnFingerprint(now time.Time, fingerprint crash.Fingerprint, standing crash.Standing) {
	p.crashes.Learn(now, fingerprint, standing)
}
