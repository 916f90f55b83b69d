package choose

import (
	"math"
	"time"

	"dandeliondoor/costs"
)

// Parameters of placement by cost.
const (
	// overdueShare is the share of the requests on a healthy server that run longer than
	// an attempt that is overdue. An attempt is not overdue before overdueFactor means.
	overdueShare = 0.01
	// hedgeShare is the share of requests that run longer than the hedge delay, which is
	// at least hedgeDelayFactor means. Without that minimum, hedges of routes with little
	// spread made requests fail in a burst.
	hedgeShare = 0.04
	// hedgeWaitFactor is how many times the expected wait is added to the hedge delay.
	// While servers have queues a hedge waits as well and takes a slot from others: with
	// 1, more requests were refused in the burst of examples/loads/heavy_tail.yaml than
	// by load.
	hedgeWaitFactor = 3
	// heavyFactor is how many times the mean of all requests a heavy one is expected
	// to run.
	heavyFactor = 2
	// heavyCost is the cost of sending a heavy request to a server all of whose slots
	// are taken, in proportion for some. It makes heavy requests prefer empty servers.
	heavyCost = 0.03
	// workCost and timeCost are the costs of the work that a server still has per slot and
	// of the expected time until the response, both in objectives and at most 1. They make
	// requests go to servers with less work and to faster ones even if no response would
	// be late, which leaves more room for others. With 0 and 0.3, 1.6 times as many requests
	// were late in examples/loads/uneven_work.yaml, seed 1.
	workCost = 0.3
	timeCost = 0.8
	// backlogAge is how long the expected work of a server is used without a change.
	backlogAge = 25 * time.Millisecond
	// contendedShare is the share of all slots that are taken from which some are
	// reserved from heavy requests, and reservedFactor the reserved share of them, as a
	// multiple of the share of light requests in the work that is asked for. Below 1,
	// heavy requests keep more than their share of the work.
	contendedShare = 0.85
	reservedFactor = 0.9
	// minLightShare is the share of the light requests below which nothing is reserved.
	minLightShare = 0.05
	// trustWeight is the weight of one response in the trust in a server's reports,
	// and minReportedWait the reported wait, as a share of the typical duration, from
	// which a response says whether it was true.
	trustWeight     = 0.15
	minReportedWait = 0.3
	// mixTime is the time constant of the mix of light and heavy requests.
	mixTime = 5 * time.Second
)

// placement is what a pool needs to select servers by cost. Traits and estimate are those
// of the ask that is being decided, mean that of the estimate, and heavy whether it is
// heavy.
type placement struct {
	model    *costs.Model
	mix      workMix
	traits   costs.Traits
	estimate costs.Estimate
	mean     time.Duration
	heavy    bool
}

func newPlacement(model *costs.Model) *placement { return &placement{model: model} }

// share returns a placement for another pool of the same service.
func (p *placement) share() *placement { return &placement{model: p.model, mix: p.mix} }

// workMix is the recent work that was asked for, decayed with mixTime: the number of
// requests, their work and that of light ones in seconds.
type workMix struct {
	requests  float64
	work      float64
	light     float64
	updatedAt time.Time
}

// record adds a request and reports whether it is heavy.
func (m *workMix) record(now time.Time, mean time.Duration) bool {
	decay := math.Exp(-max(now.Sub(m.updatedAt), 0).Seconds() / mixTime.Seconds())
	m.requests, m.work, m.light, m.updatedAt = m.requests*decay+1, m.work*decay+mean.Seconds(), m.light*decay, now
	if mean.Seconds() > heavyFactor*m.work/m.requests {
		return true
	}
	m.light += mean.Seconds()
	return false
}

// lightShare returns the share of the light requests in the work.
func (m *workMix) lightShare() float64 { return m.light / max(m.work, math.SmallestNonzeroFloat64) }

// meanWork returns the mean duration of a request.
func (m *workMix) meanWork() time.Duration {
	return time.Duration(m.work / max(m.requests, 1) * float64(time.Second))
}

// attemptCost is what placement by cost knows of an attempt. RunsFrom is when it began
// to run or is expected to, zero while it waits behind others of this pool. OverdueAt
// follows from it. ReportedWait is the part of its expected wait that is known from the
// server's report only, and wait the other part.
type attemptCost struct {
	traits       costs.Traits
	estimate     costs.Estimate
	heavy        bool
	runsFrom     time.Time
	overdueAt    time.Time
	wait         time.Duration
	reportedWait time.Duration
}

func (a *attemptCost) isOverdue(now time.Time) bool {
	return a != nil && !a.overdueAt.IsZero() && now.After(a.overdueAt)
}

// start records that the attempt runs from a time on.
func (a *attemptCost) start(at time.Time, logFactor float64) {
	a.runsFrom = at
	overdue := max(a.estimate.Quantile(1-overdueShare), overdueFactor*a.estimate.Mean())
	a.overdueAt = at.Add(scale(overdue, math.Exp(logFactor)))
}

// ran returns how long the attempt has run.
func (a *attemptCost) ran(now time.Time) time.Duration {
	if a.runsFrom.IsZero() {
		return 0
	}
	return max(now.Sub(a.runsFrom), 0)
}

func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}

// prepare estimates the cost of an ask, before a server is selected for it.
func (p *placement) prepare(now time.Time, ask Ask) {
	if p == nil {
		return
	}
	p.traits = ask.Traits
	p.traits.Route, p.traits.Account = ask.Route, ask.Account
	p.estimate = p.model.Estimate(p.traits)
	p.mean = p.estimate.Mean()
	p.heavy = p.mix.record(now, p.mean)
}

// begin returns the cost of an attempt that is sent to a server.
func (p *Pool) begin(now time.Time, s *server) *attemptCost {
	if p.placement == nil {
		return nil
	}
	b := p.backlogOf(now, s)
	a := &attemptCost{
		traits: p.placement.traits, estimate: p.placement.estimate, heavy: p.placement.heavy,
		wait: b.knownStart, reportedWait: b.reportedStart - b.knownStart,
	}
	if s.counted() < s.Slots {
		a.start(now.Add(b.start), s.pace.lasting())
	}
	s.backlog.stale = true
	return a
}

// hedgeDelay returns hedgeWaitFactor times the expected wait on a server plus the time
// that all but hedgeShare of such requests run there.
func (p *placement) hedgeDelay(s *server) time.Duration {
	// The attempt that the delay is for is the last one; what it waits for was
	// determined before it was added.
	a := s.attempts[len(s.attempts)-1].cost
	wait := a.wait + scale(a.reportedWait, s.backlog.trust())
	typical := max(a.estimate.Quantile(1-hedgeShare), hedgeDelayFactor*a.estimate.Mean())
	return hedgeWaitFactor*wait + scale(typical, s.backlog.factor)
}

// end learns from the end of an attempt.
func (p *placement) end(now time.Time, s *server, release Release, ended attempt, found bool) {
	s.backlog.stale = true
	cost := ended.cost
	if !found || cost == nil {
		return
	}
	lasting := s.pace.lasting()
	s.startNext(now)
	if cost.runsFrom.IsZero() {
		return
	}
	least := scale(cost.estimate.Quantile(half), minReportedWait)
	if cost.reportedWait >= least {
		s.backlog.compareReport(cost, release, math.Exp(lasting))
	} else if release.Outcome == Served && release.Running >= 0 && s.otherLoad > s.Slots {
		s.backlog.compareArrivals(cost, release, math.Exp(lasting))
	}
	// A wait that only a report tells is too uncertain to learn from the rest.
	if scale(cost.reportedWait, s.backlog.trust()) >= least {
		return
	}
	ran := release.Duration - max(cost.runsFrom.Sub(ended.startedAt), 0)
	if ran <= 0 {
		return
	}
	known := s.pace.inSpell(now) < spellLearning
	switch release.Outcome {
	case Served:
		s.pace.observe(now, cost.estimate, ran)
		if known {
			p.model.Observe(now, cost.traits, math.Exp(lasting), ran)
		}
	case TimedOut, Cancelled:
		// Without a response of the server since, the connection may be at fault.
		if s.lastResponseAt.After(ended.startedAt) && known {
			s.pace.observeAbove(now, cost.estimate, ran)
			p.model.ObserveAbove(now, cost.traits, math.Exp(lasting), ran)
		}
	case Failed, ConnectionLost, Unreachable, Shed, Misdirected:
	}
}

// compareReport compares the wait that the server's report implied with the duration.
func (b *backlog) compareReport(cost *attemptCost, release Release, factor float64) {
	if release.Outcome != Served {
		return
	}
	waited := release.Duration - cost.wait - scale(cost.estimate.Quantile(half), factor)
	agreement := min(max(waited.Seconds()/cost.reportedWait.Seconds(), 0), 1)
	b.distrust += trustWeight * (1 - agreement - b.distrust)
}

// compareArrivals compares a report of more requests than the server has slots with the
// duration of the response that carried it. Requests that wait behind one that did not
// wait came while it ran. That many within an ordinary duration would be far more than
// the server can run.
func (b *backlog) compareArrivals(cost *attemptCost, release Release, factor float64) {
	typical := scale(cost.estimate.Quantile(half), factor)
	if release.Duration < cost.wait+2*typical {
		b.distrust += trustWeight * (1 - b.distrust)
	}
}

const half = 0.5

// startNext records that the attempts that wait on the server run as far as it has slots.
func (s *server) startNext(now time.Time) {
	running := 0
	for i := range s.attempts {
		if cost := s.attempts[i].cost; !s.attempts[i].lost && (cost == nil || !cost.runsFrom.IsZero()) {
			running++
		}
	}
	for i := range s.attempts {
		if running >= s.Slots {
			return
		}
		if cost := s.attempts[i].cost; cost != nil && cost.runsFrom.IsZero() {
			cost.start(now, s.pace.lasting())
			running++
		}
	}
}
