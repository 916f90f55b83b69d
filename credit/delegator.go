package credit

import (
	"slices"
	"time"

	"dandeliondoor/topo"
)

// Delegator decides to which allocators a daemon delegates its share of the quotas. It is
// not safe for concurrent use. Its times are of a clock that includes suspension.
type Delegator struct {
	self     string
	process  uint64
	started  time.Time
	seen     bool
	recalls  map[string]*recall
	ready    time.Time
	sizes    []listSize
	shards   int
	enabled  bool
	free     time.Time
	roles    map[Role]*assignment
	partners map[string]*partner
}

// listSize is a number of listed daemons and until when it was the present one, zero if
// it still is.
type listSize struct {
	count int
	until time.Time
}

// recall is the state of the messages by which a process ends the delegations of its
// predecessor at a daemon.
type recall struct {
	due  time.Time
	done bool
}

// assignment is the allocator of a role. The last delegation to it counts until Until. The
// buckets of the process Started got start tokens last, at startedAt.
type assignment struct {
	allocator string
	until     time.Time
	started   uint64
	startedAt time.Time
}

// partner is an allocator that this daemon delegates to. Stamp is of the last reply.
type partner struct {
	stamp      Stamp
	receivedAt time.Time
	due        time.Time
}

// Renewal is a message to the allocator Target.
type Renewal struct {
	Target  string
	Request DelegateRequest
}

// NewDelegator returns the delegator of a process of the daemon self, which began at started.
func NewDelegator(started time.Time, self string, process uint64) *Delegator {
	return &Delegator{
		self: self, process: process, started: started, shards: 1, roles: make(map[Role]*assignment), partners: make(map[string]*partner),
	}
}

// SetView replaces the listed daemons and the accounts.
func (d *Delegator) SetView(now time.Time, daemons []topo.Daemon, accounts *topo.AccountTable) {
	if last := len(d.sizes) - 1; last < 0 || d.sizes[last].count != len(daemons) {
		if last >= 0 {
			d.sizes[last].until = now
		}
		d.sizes = append(d.sizes, listSize{count: len(daemons)})
	}
	d.sizes = slices.DeleteFunc(d.sizes, func(s listSize) bool { return !s.until.IsZero() && now.Sub(s.until) > splitPeriod })
	d.updateListed(now, slices.ContainsFunc(daemons, func(daemon topo.Daemon) bool { return daemon.Name == d.self }))
	limited := limitedCount(accounts)
	d.enabled = limited > 0
	if shards := shardCount(limited); shards != d.shards {
		// An account may be in a role of each of the two divisions, so all delegations of
		// the old one have to expire first.
		for _, a := range d.roles {
			d.free = later(d.free, a.until)
		}
		clear(d.roles)
		d.shards = shards
	}
}

// updateListed determines when this daemon may delegate. If it is listed in the first view,
// its previous process may have delegated.
func (d *Delegator) updateListed(now time.Time, listed bool) {
	switch {
	case !listed:
		d.ready = time.Time{}
	case !d.ready.IsZero():
	case !d.seen:
		d.ready = d.started.Add(delegationPeriod)
		d.recalls = make(map[string]*recall)
	default:
		// Recalls end only the wait for the predecessor's delegations.
		d.ready, d.recalls = later(now.Add(settlePeriod), d.started.Add(delegationPeriod)), nil
	}
	d.seen = true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Enabled reports whether any account has a quota.
func (d *Delegator) Enabled() bool { return d.enabled }

// Share returns the share of each quota that this daemon delegates to each copy.
func (d *Delegator) Share(now time.Time) float64 {
	present, count := 1, 1
	if last := len(d.sizes) - 1; last >= 0 {
		present = max(present, d.sizes[last].count)
	}
	for _, size := range d.sizes {
		if size.until.IsZero() || now.Sub(size.until) <= listPeriod || 2*present < size.count {
			count = max(count, size.count)
		}
	}
	return 1 / float64(count) / Copies
}

// Renewals returns the messages that are due. Choose returns the allocator of a role, which
// is this daemon itself if it reaches no other. Candidates returns all other daemons that a
// process of this daemon may have chosen.
func (d *Delegator) Renewals(now time.Time, choose func(role Role) string, candidates func(role Role) []string) []Renewal {
	if !d.enabled || d.ready.IsZero() || now.Before(d.free) {
		return nil
	}
	if now.Before(d.ready) {
		messages, done := d.recall(now, candidates)
		if !done {
			return messages
		}
		d.ready = now
	}
	targets := make(map[string][]Role)
	for shard := range d.shards {
		for replica := range Copies {
			role := Role{Shards: d.shards, Shard: shard, Copy: replica}
			if d.assign(now, role, choose(role)) {
				target := d.roles[role].allocator
				targets[target] = append(targets[target], role)
			}
		}
	}
	for target := range d.partners {
		if _, used := targets[target]; !used {
			delete(d.partners, target)
		}
	}
	var renewals []Renewal
	for target, roles := range targets {
		p, known := d.partners[target]
		if !known {
			p = &partner{}
			d.partners[target] = p
		}
		if now.Before(p.due) {
			continue
		}
		p.due = now.Add(renewalInterval)
		renewals = append(renewals, Renewal{Target: target, Request: d.request(now, p, roles)})
	}
	return renewals
}

// recall returns the messages that end the delegations of the previous process, and whether
// all daemons that may count one have replied. With several shards, these may be most daemons,
// so that this process waits for the end of the delegations.
func (d *Delegator) recall(now time.Time, candidates func(role Role) []string) (messages []Renewal, done bool) {
	if d.recalls == nil || d.shards > 1 {
		return nil, false
	}
	done = true
	for replica := range Copies {
		for _, target := range candidates(Role{Shards: 1, Copy: replica}) {
			r, known := d.recalls[target]
			if !known {
				r = &recall{}
				d.recalls[target] = r
			}
			if target == d.self || r.done {
				continue
			}
			done = false
			if !now.Before(r.due) {
				r.due = now.Add(recallInterval)
				messages = append(messages, Renewal{Target: target, Request: DelegateRequest{Daemon: d.self, Process: d.process}})
			}
		}
	}
	return messages, done
}

// assign sets the allocator of a role and reports whether it may be delegated to. While the
// last delegation to another one counts, there is none.
func (d *Delegator) assign(now time.Time, role Role, target string) bool {
	a, known := d.roles[role]
	if !known {
		a = &assignment{allocator: target}
		d.roles[role] = a
	}
	if a.allocator == target {
		return true
	}
	if now.Before(a.until) {
		return false
	}
	a.allocator, a.until = target, time.Time{}
	if p, known := d.partners[target]; known {
		p.due = now
	}
	return true
}

// request returns a message with the last stamp of an allocator, if the delegation would
// count. It then counts until delegationPeriod after the stamp was received at the latest.
func (d *Delegator) request(now time.Time, p *partner, roles []Role) DelegateRequest {
	request := DelegateRequest{Daemon: d.self, Process: d.process, Share: d.Share(now), Roles: roles}
	until := p.receivedAt.Add(delegationPeriod)
	if p.receivedAt.IsZero() || !now.Before(until) {
		return request
	}
	request.Stamp = p.stamp
	for _, role := range roles {
		a := d.roles[role]
		a.until = later(a.until, until)
		if a.started != p.stamp.Process && now.Sub(later(a.startedAt, d.started)) >= startInterval {
			a.started, a.startedAt = p.stamp.Process, now
			request.Starts = append(request.Starts, role)
		}
	}
	return request
}

// Receive processes the reply to a message. It reports whether others are due at once: after
// the first reply of an allocator, as only the next message delegates, and after a recall.
func (d *Delegator) Receive(now time.Time, renewal Renewal, reply DelegateReply) bool {
	p, known := d.partners[renewal.Target]
	if r, recalled := d.recalls[renewal.Target]; recalled && now.Before(d.ready) {
		r.done = true
		if !known {
			p, known = &partner{}, true
			d.partners[renewal.Target] = p
		}
	}
	if !known || (p.stamp.Process == reply.Stamp.Process && !reply.Stamp.At.After(p.stamp.At)) {
		return false
	}
	p.stamp, p.receivedAt = reply.Stamp, now
	if renewal.Request.Stamp.Process == reply.Stamp.Process {
		return false
	}
	p.due = now
	return true
}

// Delegated returns the share of the quotas that is delegated at present, up to 1/N.
func (d *Delegator) Delegated(now time.Time) float64 {
	counted := 0
	for _, a := range d.roles {
		if now.Before(a.until) {
			counted++
		}
	}
	return d.Share(now) * float64(counted) / float64(d.shards)
}
