package broker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dandeliondoor/crash"
	"dandeliondoor/health"
)

// Cancel ends an ask or a grant that the entry gave up.
func (p *Pool) Cancel(now time.Time, id GrantID) []Action {
	for _, q := range p.queues {
		if q.remove(id) {
			return nil
		}
	}
	for i, candidate := range p.suspects {
		if candidate.ask.ID == id {
			p.dropSuspect(i)
			return p.serve(now)
		}
	}
	if held, known := p.grants[id]; known {
		p.end(held)
		return p.serve(now)
	}
	return nil
}

// Release ends a grant and takes its evidence.
func (p *Pool) Release(now time.Time, release Release) []Action {
	held, known := p.grants[release.ID]
	if !known {
		return nil
	}
	p.end(held)
	excused := p.excused(held, release.Outcome)
	actions := p.learnCrash(now, held, release.Outcome)
	if release.Outcome == health.Success {
		p.learner.finished(held.route, held.class, release.Duration)
	}
	p.noteServer(now, held.server, release)
	verdicts := p.tracker.SetLeaving(held.server.name, held.server.leaving())
	if release.Warming {
		verdicts = append(verdicts, p.tracker.SetCold(now, held.server.name)...)
	}
	if !excused {
		verdicts = append(verdicts, p.tracker.Observe(now, health.Sample{
			Upstream: held.server.name,
			Reporter: held.id.Entry,
			Route:    held.route,
			Outcome:  release.Outcome,
			Duration: release.Latency,
		})...)
	}
	actions = append(actions, judged(verdicts)...)
	return append(actions, p.serve(now)...)
}

// excused reports whether a lost connection says nothing about the upstream:
// the request ran alone as a suspect, or was in flight at a crash that another
// request has reported.
func (p *Pool) excused(held *grant, outcome health.Outcome) bool {
	return outcome == health.Lost && (held.alone || held.crashSeen)
}

func (p *Pool) noteServer(now time.Time, s *server, release Release) {
	if release.Load >= 0 {
		s.load = release.Load
	}
	if release.Outcome == health.Success || release.Draining {
		s.saysLeaving = release.Draining
	}
	if release.Outcome == health.Shed {
		s.shedUntil = now.Add(shedPause)
	}
}

// learnCrash turns everything in flight on a lost upstream into suspects, and
// clears what succeeded.
func (p *Pool) learnCrash(now time.Time, held *grant, outcome health.Outcome) []Action {
	switch outcome {
	case health.Success:
		p.memory.Succeeded(held.fingerprint)
		return nil
	case health.Lost:
	default:
		return nil
	}
	if held.crashSeen {
		return nil
	}
	held.crashSeen = held.fingerprint != 0
	actions := p.suspect(now, held)
	for _, other := range p.sortedGrants() {
		if other.server == held.server && !other.crashSeen && other.fingerprint != 0 {
			other.crashSeen = true
			actions = append(actions, p.suspect(now, other)...)
		}
	}
	return actions
}

// sortedGrants returns the grants in an order that does not depend on chance.
func (p *Pool) sortedGrants() []*grant {
	sorted := slices.Collect(maps.Values(p.grants))
	slices.SortFunc(sorted, func(a, b *grant) int {
		return cmp.Or(cmp.Compare(a.id.Entry, b.id.Entry), cmp.Compare(a.id.Seq, b.id.Seq))
	})
	return sorted
}

func (p *Pool) suspect(now time.Time, held *grant) []Action {
	standing := p.memory.Crashed(now, held.fingerprint, held.alone)
	if standing == crash.Clear {
		return nil
	}
	return []Action{Shared{Fingerprint: held.fingerprint, Standing: standing}}
}

// LearnFingerprint takes the standing that a sibling pool found.
func (p *Pool) LearnFingerprint(now time.Time, fingerprint crash.Fingerprint, standing crash.Standing) {
	p.memory.Learn(now, fingerprint, standing)
}
