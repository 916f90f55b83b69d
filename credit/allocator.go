package credit

import (
	"math"
	"slices"
	"time"

	"dandeliondoor/topo"
)

// brokerMemory is how long the last request of a broker or daemon is remembered. Older
// requests return no tokens that may still be used, and have no stamp that is still valid.
const brokerMemory = 10 * time.Second

// Allocator issues the tokens of the shares of quotas that daemons delegate to it. It is
// not safe for concurrent use. Its times are of a clock that includes suspension.
type Allocator struct {
	process  uint64
	listed   map[string]struct{}
	accounts *topo.AccountTable
	shards   int
	freshAt  time.Time
	roles    map[Role]*pot
	brokers  map[brokerProcess]lastRequest
	senders  map[string]sender
	issued   float64
	returned float64
	started  float64
}

// sender is the process of a daemon that sent the last delegation, which arrived at some
// time. Delegations with stamps of before since are of an earlier process.
type sender struct {
	process uint64
	since   time.Time
	at      time.Time
}

// brokerProcess identifies a process of a broker.
type brokerProcess struct {
	name    string
	process uint64
}

// lastRequest is the last request of a broker and when it arrived.
type lastRequest struct {
	seq uint64
	at  time.Time
}

// pot holds the delegations of one role and the buckets of the accounts of its shard.
type pot struct {
	shares  map[string]delegation
	total   float64
	buckets map[string]*bucket
}

// delegation is the share of a daemon, which counts until some time.
type delegation struct {
	share float64
	until time.Time
}

// NewAllocator returns an allocator without delegations. Process identifies this process.
func NewAllocator(process uint64) *Allocator {
	return &Allocator{
		process: process, accounts: topo.NewAccountTable(nil), shards: 1,
		roles: make(map[Role]*pot), brokers: make(map[brokerProcess]lastRequest),
		senders: make(map[string]sender),
	}
}

// SetView replaces the listed daemons and the accounts. FreshAt is when the store last
// confirmed them.
func (a *Allocator) SetView(now time.Time, daemons []topo.Daemon, accounts *topo.AccountTable, freshAt time.Time) {
	a.expire(now)
	a.listed = make(map[string]struct{}, len(daemons))
	for _, daemon := range daemons {
		a.listed[daemon.Name] = struct{}{}
	}
	a.freshAt, a.shards = freshAt, shardCount(limitedCount(accounts))
	changed := a.accounts != accounts
	a.accounts = accounts
	for role, p := range a.roles {
		if !role.valid(a.shards) {
			delete(a.roles, role)
			continue
		}
		p.retain(now, func(daemon string, _ delegation) bool {
			_, listed := a.listed[daemon]
			return listed
		})
		if changed {
			p.setAccounts(now, role, accounts)
		}
	}
}

// SetFresh records that the store has confirmed the view.
func (a *Allocator) SetFresh(freshAt time.Time) { a.freshAt = freshAt }

// limitedCount returns the number of accounts that have a quota.
func limitedCount(accounts *topo.AccountTable) int {
	count := 0
	for _, account := range accounts.All() {
		if account.Limited() {
			count++
		}
	}
	return count
}

// Delegate counts a delegation that carries a valid stamp of this process.
func (a *Allocator) Delegate(now time.Time, request DelegateRequest) DelegateReply {
	a.expire(now)
	reply := DelegateReply{Stamp: Stamp{Process: a.process, At: now}}
	until := request.Stamp.At.Add(delegationPeriod)
	since := a.noteSender(now, request)
	_, listed := a.listed[request.Daemon]
	valid := request.Share > 0 && request.Share <= 1.0/Copies && !math.IsNaN(request.Share)
	if !listed || !valid || request.Stamp.Process != a.process || request.Stamp.At.After(now) || !until.After(now) {
		return reply
	}
	if request.Stamp.At.Before(since) {
		return reply
	}
	for _, role := range request.Roles {
		if !role.valid(a.shards) {
			continue
		}
		p, known := a.roles[role]
		if !known {
			p = &pot{shares: make(map[string]delegation), buckets: make(map[string]*bucket)}
			p.setAccounts(now, role, a.accounts)
			a.roles[role] = p
		}
		a.started += p.delegate(now, request.Daemon, delegation{share: request.Share, until: until}, slices.Contains(request.Starts, role))
	}
	return reply
}

// noteSender ends the delegations of other processes of a daemon, and returns the time of the
// first message of this one if there were others. A late message of an earlier process
// carries a stamp of before that time, as it got the stamp while it ran.
func (a *Allocator) noteSender(now time.Time, request DelegateRequest) time.Time {
	known, found := a.senders[request.Daemon]
	if found && known.process != request.Process {
		known.since = now
		for _, p := range a.roles {
			p.retain(now, func(daemon string, _ delegation) bool { return daemon != request.Daemon })
		}
	}
	known.process, known.at = request.Process, now
	a.senders[request.Daemon] = known
	return known.since
}

// Issue issues tokens to a broker. A late or repeated request changes nothing.
func (a *Allocator) Issue(now time.Time, request IssueRequest) IssueReply {
	a.expire(now)
	reply := IssueReply{Stamp: Stamp{Process: a.process, At: now}}
	from := brokerProcess{name: request.Broker, process: request.Process}
	if last, known := a.brokers[from]; known && request.Seq <= last.seq {
		return reply
	}
	a.brokers[from] = lastRequest{seq: request.Seq, at: now}
	reply.Grants = make([]Grant, 0, len(request.Lines))
	for _, line := range request.Lines {
		reply.Grants = append(reply.Grants, a.issueLine(now, request, line))
	}
	return reply
}

func (a *Allocator) issueLine(now time.Time, request IssueRequest, line IssueLine) Grant {
	role := Role{Shards: request.Shards, Shard: shardOf(line.Account, a.shards), Copy: line.Copy}
	p, known := a.roles[role]
	if !known {
		return Grant{}
	}
	b, known := p.buckets[line.Account]
	if !known {
		return Grant{}
	}
	b.advance(now, p.total)
	for _, returned := range line.Returns {
		if returned.Stamp.Process == a.process {
			a.returned += b.giveBack(now, returned.Stamp.At, returned.Amount, p.total)
		}
	}
	if !a.mayIssue(now, p) {
		return Grant{}
	}
	amount, wait := b.issue(now, request.Broker, line, p.total)
	a.issued += amount
	return Grant{Issued: amount, Wait: wait, Share: p.total}
}

// mayIssue reports whether the view is fresh or most of the listed daemons delegate a role.
func (a *Allocator) mayIssue(now time.Time, p *pot) bool {
	return now.Sub(a.freshAt) <= staleAfter || 2*len(p.shares) > len(a.listed)
}

// expire ends the delegations and forgets the brokers whose time has passed.
func (a *Allocator) expire(now time.Time) {
	for role, p := range a.roles {
		p.expire(now)
		if len(p.shares) == 0 {
			delete(a.roles, role)
		}
	}
	for key, last := range a.brokers {
		if now.Sub(last.at) > brokerMemory {
			delete(a.brokers, key)
		}
	}
	for daemon, last := range a.senders {
		if now.Sub(last.at) > brokerMemory {
			delete(a.senders, daemon)
		}
	}
}

// delegate adds or renews a delegation. One that arrives late or again changes nothing.
// Start adds start tokens, whose number is returned.
func (p *pot) delegate(now time.Time, daemon string, d delegation, start bool) (started float64) {
	if known, found := p.shares[daemon]; found {
		if !d.until.After(known.until) {
			return 0
		}
		if known.share == d.share && !start {
			p.shares[daemon] = d
			return 0
		}
	}
	p.advance(now)
	if start {
		for _, b := range p.buckets {
			if b.first {
				b.level += startTokens * d.share * Copies
				started += startTokens * d.share * Copies
			}
		}
	}
	p.shares[daemon] = d
	p.sum()
	p.cut()
	return started
}

// expire ends delegations. The buckets are filled with what remains from the first end on.
func (p *pot) expire(now time.Time) {
	first := now
	for _, d := range p.shares {
		if d.until.Before(first) {
			first = d.until
		}
	}
	if first.Equal(now) {
		return
	}
	p.retain(first, func(_ string, d delegation) bool { return d.until.After(now) })
}

// retain ends the delegations that don't fulfil a condition.
func (p *pot) retain(now time.Time, keep func(daemon string, d delegation) bool) {
	ended := false
	for daemon, d := range p.shares {
		if keep(daemon, d) {
			continue
		}
		if !ended {
			p.advance(now)
			ended = true
		}
		delete(p.shares, daemon)
	}
	if ended {
		p.sum()
		p.cut()
	}
}

// sum adds up the shares. It doesn't subtract from the previous sum, so that no rounding
// errors add up.
func (p *pot) sum() {
	p.total = 0
	for _, d := range p.shares {
		p.total += d.share
	}
}

func (p *pot) advance(now time.Time) {
	for _, b := range p.buckets {
		b.advance(now, p.total)
	}
}

func (p *pot) cut() {
	for _, b := range p.buckets {
		b.cut(p.total)
	}
}

// setAccounts replaces the limits of the accounts of the shard. New ones start empty.
func (p *pot) setAccounts(now time.Time, role Role, accounts *topo.AccountTable) {
	for name := range p.buckets {
		if account := accounts.Named(name); account == nil || !account.Limited() {
			delete(p.buckets, name)
		}
	}
	for name, account := range accounts.All() {
		if !account.Limited() || shardOf(name, role.Shards) != role.Shard {
			continue
		}
		if b, known := p.buckets[name]; known {
			b.advance(now, p.total)
			b.setLimits(account, p.total)
		} else {
			p.buckets[name] = newBucket(now, account, firstCopy(name) == role.Copy)
		}
	}
}

// AllocatorState is the state of an allocator for metrics and state dumps. Issued, Returned and
// Started are the numbers of tokens so far that it issued, took back, and added at starts.
type AllocatorState struct {
	Issued   float64     `yaml:"issued"`
	Returned float64     `yaml:"returned"`
	Started  float64     `yaml:"started"`
	Roles    []RoleState `yaml:"roles"`
}

// RoleState is the state of one role of an allocator. Share is what is delegated to it, Tokens
// the sum of its buckets when they were last used. Issues means that it may issue tokens.
type RoleState struct {
	Shard   int     `yaml:"shard"`
	Copy    int     `yaml:"copy"`
	Daemons int     `yaml:"daemons"`
	Share   float64 `yaml:"share"`
	Tokens  float64 `yaml:"tokens"`
	Issues  bool    `yaml:"issues"`
}

// State returns the current state.
func (a *Allocator) State(now time.Time) AllocatorState {
	a.expire(now)
	state := AllocatorState{Issued: a.issued, Returned: a.returned, Started: a.started}
	for role, p := range a.roles {
		tokens := 0.0
		for _, b := range p.buckets {
			tokens += b.level
		}
		state.Roles = append(state.Roles, RoleState{
			Shard: role.Shard, Copy: role.Copy, Daemons: len(p.shares), Share: p.total, Tokens: tokens, Issues: a.mayIssue(now, p),
		})
	}
	return state
}
