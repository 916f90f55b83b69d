package credit

import (
	"math"
	"time"

	"dandeliondoor/topo"
)

const (
	// demandPeriod is the time constant of the average of an account's demand.
	demandPeriod = 500 * time.Millisecond
	// waitingPeriod is how long a request that got Pending counts as waiting. It is a little
	// more than the time after which its daemon asks again.
	waitingPeriod = 30 * time.Millisecond
	// callTimeout bounds a call to an allocator, which replies without waiting.
	callTimeout = 150 * time.Millisecond
	// answerPeriod is how long a request to an allocator may take before the tokens are
	// requested from another one.
	answerPeriod = 20 * time.Millisecond
	// tokenMargin is the rest of the token period in which a broker returns tokens that it
	// expects not to use.
	tokenMargin = 150 * time.Millisecond
	// ReturnPeriod is the maximum age of a token at its return by Wallet.Return. An older
	// one would be used in another window of time than the one that it was issued for.
	ReturnPeriod = 250 * time.Millisecond
	// returnMemory is how long after the last use of tokens a return may still be of one of
	// them: ReturnPeriod and the time that the notification of it takes.
	returnMemory = 2 * ReturnPeriod
	// minForecast is the expected demand, in tokens, from which some are requested in advance.
	// With 0.25, the brokers held most tokens of an account of 15 requests per second, and 18 of
	// 562 requests within its quota were refused (TestWithinQuota).
	minForecast = 1
	// returnMargin is the share of the needed tokens by which a broker must hold more before it
	// returns any, so that small changes of the demand cause no messages.
	returnMargin = 0.25
	// unusedPeriod is how long after the last ask a broker that expects no further one keeps
	// tokens. It is three times the time after which a waiting request asks again, so that
	// one that is late still finds its token.
	unusedPeriod = 75 * time.Millisecond
	// knownPeriod is how long an allocator's reply is taken into account.
	knownPeriod = time.Second
	// shortPeriod is how long a broker believes an allocator that it has no tokens. With the few
	// shares that it has right after a restart, the allocator may expect none for a minute.
	shortPeriod = renewalInterval
	// maxRetryAfter bounds the time after which refused callers retry one after another.
	maxRetryAfter = 5 * time.Second
	// idlePeriod is how long an account without demand is remembered.
	idlePeriod = 10 * time.Second
	// maxWaiting bounds the waiting requests that are counted per account.
	maxWaiting = 1024
)

// Wallet holds the tokens that a broker has got. It is an Admitter, but not safe for
// concurrent use. Its times are of a clock that includes suspension.
type Wallet struct {
	broker  string
	process uint64
	seq     uint64
	shards  int
	purses  map[string]*purse
	sentAt  map[string]time.Time
	pending map[uint64]time.Time
	stats   WalletStats
}

// WalletStats counts tokens since the start: those received from allocators, consumed by
// requests, returned to allocators, given back by requests that have not run, and expired;
// and the requests that were refused and those that had to wait.
type WalletStats struct {
	Received  float64 `yaml:"received"`
	Consumed  float64 `yaml:"consumed"`
	Returned  float64 `yaml:"returned"`
	GivenBack float64 `yaml:"given_back"`
	Expired   float64 `yaml:"expired"`
	Refused   uint64  `yaml:"refused"`
	Pending   uint64  `yaml:"pending"`
}

// purse holds the tokens of one account.
type purse struct {
	lots      []lot
	demand    float64
	income    float64
	updated   time.Time
	usedAt    time.Time
	waiting   []time.Time
	waitSince time.Time
	copies    [Copies]copyState
	nextRetry time.Time
}

// lot is what is left of the tokens of one grant. Taken is how many of them requests took.
type lot struct {
	target  string
	copy    int
	stamp   Stamp
	expires time.Time
	left    float64
	taken   float64
	lastUse time.Time
}

// copyState is what the last reply of the allocator of a copy said, and what has been
// requested since. ShortUntil is when the allocator expects to have a token. Failed means that
// there was no reply to the last request.
type copyState struct {
	repliedAt   time.Time
	short       bool
	shortUntil  time.Time
	askAgainAt  time.Time
	share       float64
	requested   float64
	requestedAt time.Time
	failed      bool
}

// Outgoing is a request to the allocator Target.
type Outgoing struct {
	Target  string
	SentAt  time.Time
	Request IssueRequest
}

var _ Admitter = &Wallet{}

// NewWallet returns an empty wallet. Process identifies this process.
func NewWallet(broker string, process uint64) *Wallet {
	return &Wallet{
		broker: broker, process: process, shards: 1, purses: make(map[string]*purse),
		sentAt: make(map[string]time.Time), pending: make(map[uint64]time.Time),
	}
}

// SetAccounts forgets the tokens of accounts that have no quota any more.
func (w *Wallet) SetAccounts(accounts *topo.AccountTable) {
	w.shards = shardCount(limitedCount(accounts))
	for name := range w.purses {
		if account := accounts.Named(name); account == nil || !account.Limited() {
			delete(w.purses, name)
		}
	}
}

// Take implements Admitter.
func (w *Wallet) Take(now time.Time, account *topo.Account) Verdict {
	if !account.Limited() {
		return Admitted{}
	}
	p, known := w.purses[account.Name]
	if !known {
		p = &purse{updated: now}
		w.purses[account.Name] = p
	}
	w.expire(now, p)
	p.decay(now)
	p.usedAt = now
	if p.held() >= 1-rounding {
		p.demand += 1 / demandPeriod.Seconds()
		p.spend(now)
		w.stats.Consumed++
		return Admitted{}
	}
	if wait, exhausted := p.exhausted(now, account.Rate); exhausted {
		p.demand += 1 / demandPeriod.Seconds()
		w.stats.Refused++
		return Exhausted{RetryAfter: p.retryAfter(now, wait, account.Rate)}
	}
	w.stats.Pending++
	p.wait(now)
	return Pending{Wait: requestInterval}
}

// Return implements Admitter for a request that took the token at most ReturnPeriod ago.
// The oldest tokens that may be meant are given back, which may have expired.
func (w *Wallet) Return(now time.Time, account string) {
	p, known := w.purses[account]
	if !known {
		return
	}
	w.expire(now, p)
	remaining := 1.0
	for i := range p.lots {
		l := &p.lots[i]
		if remaining <= 0 {
			return
		}
		if l.taken <= 0 || now.Sub(l.lastUse) > returnMemory {
			continue
		}
		amount := min(l.taken, remaining)
		l.taken -= amount
		remaining -= amount
		if now.Before(l.expires) {
			l.left += amount
			w.stats.GivenBack += amount
		} else {
			w.stats.Expired += amount
		}
	}
}

// expire drops the tokens whose time has passed, and forgets them once no return can be of
// them.
func (w *Wallet) expire(now time.Time, p *purse) {
	kept := p.lots[:0]
	for _, l := range p.lots {
		if !now.Before(l.expires) {
			w.stats.Expired += l.left
			l.left = 0
			if l.taken <= 0 || now.Sub(l.lastUse) > returnMemory {
				continue
			}
		}
		kept = append(kept, l)
	}
	clear(p.lots[len(kept):])
	p.lots = kept
}

// held returns the number of tokens that may be used.
func (p *purse) held() float64 {
	total := 0.0
	for _, l := range p.lots {
		total += l.left
	}
	return total
}

// spend uses one token, the oldest first.
func (p *purse) spend(now time.Time) {
	remaining := 1.0
	for i := range p.lots {
		l := &p.lots[i]
		amount := min(l.left, remaining)
		if amount <= 0 {
			continue
		}
		l.left -= amount
		l.taken += amount
		l.lastUse = now
		remaining -= amount
	}
}

// decay reduces the averages of demand and income for the time since the last call.
func (p *purse) decay(now time.Time) {
	if elapsed := now.Sub(p.updated); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / demandPeriod.Seconds())
		p.demand *= factor
		p.income *= factor
		p.updated = now
	}
}

// wait counts a waiting request.
func (p *purse) wait(now time.Time) {
	if p.countWaiting(now) == 0 {
		p.waitSince = now
	}
	if len(p.waiting) < maxWaiting {
		p.waiting = append(p.waiting, now)
	}
}

// countWaiting returns the number of waiting requests.
func (p *purse) countWaiting(now time.Time) int {
	first := 0
	for first < len(p.waiting) && now.Sub(p.waiting[first]) >= waitingPeriod {
		first++
	}
	p.waiting = p.waiting[first:]
	return len(p.waiting)
}

// exhausted reports whether the allocators have too few tokens for one more request, and
// when they will have one for it. Each of them must have replied unless it is lost, and their
// replies must cover most of the quota, as the account may be within it otherwise.
func (p *purse) exhausted(now time.Time, rate float64) (time.Duration, bool) {
	share, wait, ahead := 0.0, maxWait, float64(p.countWaiting(now))
	for _, c := range p.copies {
		if c.repliedAt.IsZero() || (now.Sub(c.repliedAt) > knownPeriod && !now.Before(c.shortUntil)) {
			if c.silent(now) {
				continue
			}
			return 0, false
		}
		if !c.short {
			return 0, false
		}
		share += c.share
		if missing := c.shortUntil.Sub(now); missing > 0 {
			wait = min(wait, missing)
		} else {
			wait = 0
			ahead -= 1 - missing.Seconds()*rate*c.share
		}
	}
	if ahead > 0 {
		wait += time.Duration(ahead / p.effectiveIncome(rate) * float64(time.Second))
	}
	return wait, share >= minKnownShare && wait > requestInterval
}

// effectiveIncome returns the rate at which this broker gets tokens of an account with some
// rate, at least an eighth of it.
func (p *purse) effectiveIncome(rate float64) float64 {
	const minIncomeShare = 1.0 / 8
	return min(max(p.income, rate*minIncomeShare), rate)
}

// retryAfter returns when a refused request should be sent again. Refused requests are told
// times one after another, at the rate at which this broker gets tokens.
func (p *purse) retryAfter(now time.Time, wait time.Duration, rate float64) time.Duration {
	first := now.Add(wait)
	at := later(first, p.nextRetry)
	if limit := later(first, now.Add(maxRetryAfter)); at.After(limit) {
		at = first
	}
	p.nextRetry = at.Add(time.Duration(float64(time.Second) / p.effectiveIncome(rate)))
	return at.Sub(now)
}

// forecast returns the number of tokens that are expected to be needed within
// forecastPeriod.
func (p *purse) forecast() float64 {
	expected := p.demand * forecastPeriod.Seconds()
	if expected < minForecast {
		return 0
	}
	return math.Ceil(expected)
}

// Requests returns the messages that are due. Choose returns the allocator of a role, which
// is this daemon itself if it reaches no other.
func (w *Wallet) Requests(now time.Time, choose func(role Role) string) []Outgoing {
	lines := make(map[string][]IssueLine)
	for name, p := range w.purses {
		w.expire(now, p)
		p.decay(now)
		if len(p.lots) == 0 && now.Sub(p.usedAt) > idlePeriod {
			delete(w.purses, name)
			continue
		}
		w.plan(now, name, p, choose, lines)
	}
	var messages []Outgoing
	for target, list := range lines {
		w.seq++
		request := IssueRequest{Broker: w.broker, Process: w.process, Seq: w.seq, Shards: w.shards, Lines: list}
		w.sentAt[target], w.pending[w.seq] = now, now
		messages = append(messages, Outgoing{Target: target, SentAt: now, Request: request})
	}
	for target, sentAt := range w.sentAt {
		if now.Sub(sentAt) > idlePeriod {
			delete(w.sentAt, target)
		}
	}
	for seq, sentAt := range w.pending {
		if now.Sub(sentAt) > tokenPeriod {
			delete(w.pending, seq)
		}
	}
	return messages
}

// mayAsk reports whether a message may be sent to an allocator.
func (w *Wallet) mayAsk(now time.Time, target string) bool {
	sentAt, known := w.sentAt[target]
	return !known || now.Sub(sentAt) >= requestInterval
}

// plan adds the lines of one account to the messages.
func (w *Wallet) plan(now time.Time, name string, p *purse, choose func(role Role) string, lines map[string][]IssueLine) {
	waiting := float64(p.countWaiting(now))
	held, forecast := p.held(), p.forecast()
	keep := forecast + waiting
	// Another broker may wait for a token that this one has no more use for.
	unused := keep == 0 && held >= 1-rounding && now.Sub(p.usedAt) >= unusedPeriod
	if unused || held > keep+max(1, keep*returnMargin) || p.oldestEnds(now) {
		w.giveBack(now, name, p, keep, lines)
		held = p.held()
	}
	for _, c := range p.copies {
		if now.Sub(c.requestedAt) < answerPeriod {
			held += c.requested
		}
	}
	if held >= waiting+forecast/2 {
		return
	}
	role := Role{Shards: w.shards, Shard: shardOf(name, w.shards)}
	var open []int
	for i := range Copies {
		// The rotation spreads small needs over the copies.
		role.Copy = int((w.seq + uint64(i)) % Copies)
		if c := p.copies[role.Copy]; !now.Before(c.askAgainAt) && c.askable(now) && w.mayAsk(now, choose(role)) {
			open = append(open, role.Copy)
		}
	}
	missing := math.Ceil(waiting + forecast - held - rounding)
	for i, replica := range open {
		need := math.Ceil(missing / float64(len(open)-i))
		if need <= 0 {
			return
		}
		missing -= need
		role.Copy = replica
		c := &p.copies[replica]
		c.failed = c.failed || c.requested > 0
		c.requested, c.requestedAt = need, now
		line := IssueLine{Account: name, Copy: replica, Need: need}
		if waiting > 0 {
			line.Waiting = max(now.Sub(p.waitSince), time.Microsecond)
			line.Claim = p.shortExcept(now, replica)
			line.Asks = min(need, math.Ceil(max(waiting-held, 0)))
			held += line.Asks
		}
		addLine(lines, choose(role), line)
	}
}

// shortExcept reports whether the allocators of all copies but one are known to have too few
// tokens.
func (p *purse) shortExcept(now time.Time, replica int) bool {
	for i, c := range p.copies {
		if i != replica && !now.Before(c.shortUntil) {
			return false
		}
	}
	return true
}

// askable reports whether no tokens have been requested that may still arrive.
func (c copyState) askable(now time.Time) bool {
	return c.requested == 0 || now.Sub(c.requestedAt) >= callTimeout
}

// silent reports whether the allocator has not replied to the last request in time.
func (c copyState) silent(now time.Time) bool {
	return c.failed || (c.requested > 0 && now.Sub(c.requestedAt) >= callTimeout/2)
}

// oldestEnds reports whether unused tokens expire soon.
func (p *purse) oldestEnds(now time.Time) bool {
	for _, l := range p.lots {
		if l.left > 0 && l.expires.Sub(now) < tokenMargin {
			return true
		}
	}
	return false
}

// giveBack adds returns of the tokens beyond a number to keep, and of those that expire
// before they are expected to be used.
func (w *Wallet) giveBack(now time.Time, name string, p *purse, keep float64, lines map[string][]IssueLine) {
	excess := max(p.held()-keep, 0)
	for i := range p.lots {
		l := &p.lots[i]
		rest := l.expires.Sub(now)
		amount := min(l.left, excess)
		if rest < tokenMargin {
			amount = max(amount, l.left-math.Floor(p.demand*rest.Seconds()))
		}
		if l.left <= 0 || amount <= 0 || !w.mayAsk(now, l.target) {
			continue
		}
		excess -= min(amount, excess)
		l.left -= amount
		w.stats.Returned += amount
		addLine(lines, l.target, IssueLine{Account: name, Copy: l.copy, Returns: []Return{{Stamp: l.stamp, Amount: amount}}})
	}
}

// addLine adds a line to the message to an allocator, united with one of the same account
// and copy.
func addLine(lines map[string][]IssueLine, target string, line IssueLine) {
	list := lines[target]
	for i := len(list) - 1; i >= 0 && list[i].Account == line.Account; i-- {
		if list[i].Copy == line.Copy {
			list[i].Need += line.Need
			list[i].Asks += line.Asks
			list[i].Claim = list[i].Claim || line.Claim
			list[i].Waiting = max(list[i].Waiting, line.Waiting)
			list[i].Returns = append(list[i].Returns, line.Returns...)
			return
		}
	}
	lines[target] = append(list, line)
}

// Receive processes the reply to a message. A late or repeated one is ignored.
func (w *Wallet) Receive(now time.Time, sent Outgoing, reply IssueReply) {
	if _, known := w.pending[sent.Request.Seq]; !known {
		return
	}
	delete(w.pending, sent.Request.Seq)
	expires := sent.SentAt.Add(tokenPeriod)
	for i, line := range sent.Request.Lines {
		p, known := w.purses[line.Account]
		if !known {
			continue
		}
		c := &p.copies[line.Copy]
		if line.Need > 0 {
			c.requested, c.failed = 0, false
		}
		if i >= len(reply.Grants) || line.Need <= 0 {
			continue
		}
		grant := reply.Grants[i]
		c.repliedAt, c.shortUntil, c.share, c.short = now, now.Add(grant.Wait), grant.Share, grant.Wait > 0
		c.askAgainAt = now.Add(min(grant.Wait, shortPeriod))
		if grant.Issued <= 0 || !now.Before(expires) {
			w.stats.Expired += max(grant.Issued, 0)
			continue
		}
		w.stats.Received += grant.Issued
		p.decay(now)
		p.income += grant.Issued / demandPeriod.Seconds()
		p.lots = append(p.lots, lot{
			target: sent.Target, copy: line.Copy, stamp: reply.Stamp, expires: expires, left: grant.Issued,
		})
	}
}

// Fail records that there will be no reply to a message.
func (w *Wallet) Fail(sent Outgoing) {
	if _, known := w.pending[sent.Request.Seq]; !known {
		return
	}
	delete(w.pending, sent.Request.Seq)
	for _, line := range sent.Request.Lines {
		if p, known := w.purses[line.Account]; known {
			c := &p.copies[line.Copy]
			c.requested, c.repliedAt, c.failed = 0, time.Time{}, true
		}
	}
}

// Waiting reports whether any request is waiting for a token.
func (w *Wallet) Waiting(now time.Time) bool {
	for _, p := range w.purses {
		if p.countWaiting(now) > 0 {
			return true
		}
	}
	return false
}

// Active reports whether any message may be due without a further call of Take.
func (w *Wallet) Active(now time.Time) bool {
	for _, p := range w.purses {
		if len(p.lots) > 0 || p.countWaiting(now) > 0 || now.Sub(p.usedAt) <= idlePeriod {
			return true
		}
	}
	return false
}

// Stats returns the counts of tokens.
func (w *Wallet) Stats() WalletStats { return w.stats }

// PurseState is the state of one account for state dumps. Demand and Income are averages per
// second.
type PurseState struct {
	Account string  `yaml:"account"`
	Held    float64 `yaml:"held"`
	Demand  float64 `yaml:"demand_per_s"`
	Income  float64 `yaml:"income_per_s"`
	Waiting int     `yaml:"waiting"`
}

// State returns the state of at most limit accounts.
func (w *Wallet) State(now time.Time, limit int) []PurseState {
	var states []PurseState
	for name, p := range w.purses {
		if len(states) == limit {
			break
		}
		w.expire(now, p)
		p.decay(now)
		states = append(states, PurseState{
			Account: name, Held: p.held(), Demand: p.demand, Income: p.income, Waiting: p.countWaiting(now),
		})
	}
	return states
}
