package grant

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"dandeliondoor/broker"
	"dandeliondoor/health"
)

// runner drives one pool: it gives the pool its events one at a time and hands
// each decision to the ask that waits for it.
type runner struct {
	key     string
	log     *logrus.Entry
	metrics *metrics
	share   func(key string, shared broker.Shared)

	mutex      sync.Mutex
	pool       *broker.Pool
	waiting    map[broker.GrantID]chan AskReply
	out        []string
	outVersion uint64
	usedAt     time.Time
	hinted     broker.Hint
	hintedAt   time.Time
	ended      bool
}

// ask gives an ask to the pool and returns the channel of the decision.
func (r *runner) ask(now time.Time, request AskRequest) <-chan AskReply {
	decided := make(chan AskReply, 1)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.ended {
		decided <- AskReply{Leaving: true}
		return decided
	}
	r.usedAt = now
	for _, hold := range request.Holds {
		hold.Session = request.Ask.Session
		r.pool.TakeHold(now, hold)
	}
	r.waiting[request.Ask.ID] = decided
	r.act(r.pool.Ask(now, request.Ask))
	return decided
}

func (r *runner) release(now time.Time, release broker.Release) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.usedAt = now
	r.act(r.pool.Release(now, release))
}

func (r *runner) cancel(now time.Time, id broker.GrantID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if decided, waits := r.waiting[id]; waits {
		delete(r.waiting, id)
		decided <- AskReply{Refused: &broker.Refused{ID: id, Reason: broker.ReasonDeadline}}
	}
	r.act(r.pool.Cancel(now, id))
}

func (r *runner) tick(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.act(r.pool.Tick(now))
}

// do calls the pool with the runner's lock held and acts on the decisions.
func (r *runner) do(work func(pool *broker.Pool) []broker.Action) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.act(work(r.pool))
}

// end stops granting, hands the grants in use over, and then sends everything
// that waits to the next broker.
func (r *runner) end(now time.Time, hand func(holds []broker.Hold)) {
	r.mutex.Lock()
	r.ended = true
	holds := r.pool.Holds(now)
	r.mutex.Unlock()
	hand(holds)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for id, decided := range r.waiting {
		delete(r.waiting, id)
		decided <- AskReply{Leaving: true}
	}
}

// idle reports whether nothing used the pool since a time.
func (r *runner) idle(since time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.usedAt.Before(since) && len(r.waiting) == 0
}

// hint returns the pool's hint when siblings should hear it: at once when it
// has changed much, and now and then while the pool is in use.
func (r *runner) hint(now time.Time) (broker.Hint, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	hint := r.pool.Hint(now)
	waits := hint.Wait > 0 || r.hinted.Wait > 0 || hint.Free == 0
	interval := calmHintInterval
	if waits {
		interval = busyHintInterval
	}
	if now.Sub(r.hintedAt) < interval {
		return hint, false
	}
	r.hinted, r.hintedAt = hint, now
	return hint, true
}

// act hands decisions on; the lock is held.
func (r *runner) act(actions []broker.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case broker.Granted:
			r.metrics.decisions.WithLabelValues(decisionGranted).Inc()
			r.decide(action.ID, AskReply{Granted: &action})
		case broker.Refused:
			r.metrics.decisions.WithLabelValues(string(action.Reason)).Inc()
			r.decide(action.ID, AskReply{Refused: &action})
		case broker.Redirected:
			r.metrics.decisions.WithLabelValues(decisionRedirected).Inc()
			r.decide(action.ID, AskReply{Redirected: &action})
		case broker.Judged:
			r.judged(action.Verdict)
		case broker.Shared:
			r.share(r.key, action)
		}
	}
}

// decide answers a waiting ask; a grant that nobody waits for is given back.
func (r *runner) decide(id broker.GrantID, reply AskReply) {
	decided, waits := r.waiting[id]
	if r.ended && reply.Granted != nil {
		waits = false
	}
	if !waits {
		if reply.Granted != nil {
			r.act(r.pool.Cancel(time.Now(), id))
		}
		return
	}
	delete(r.waiting, id)
	reply.OutVersion, reply.Out = r.outVersion, r.out
	decided <- reply
}

func (r *runner) judged(verdict health.Verdict) {
	entry := r.log.WithField("pool", r.key)
	switch verdict := verdict.(type) {
	case health.Ejected:
		r.metrics.ejections.WithLabelValues(string(verdict.Cause)).Inc()
		entry.WithField("upstream", verdict.Upstream).WithField("cause", verdict.Cause).Warn("upstream ejected")
		r.setOut(append(slices.Clone(r.out), verdict.Upstream))
	case health.Readmitted:
		entry.WithField("upstream", verdict.Upstream).WithField("reason", verdict.Reason).Info("upstream readmitted")
		r.setOut(slices.DeleteFunc(slices.Clone(r.out), func(name string) bool { return name == verdict.Upstream }))
	case health.FloorReached:
		r.metrics.floors.Inc()
		entry.WithField("upstream", verdict.Upstream).WithField("cause", verdict.Cause).
			Debug("sick upstream stays in use; the capacity floor is reached")
	case health.PathCut:
		r.metrics.pathCuts.Inc()
		entry.WithField("upstream", verdict.Upstream).WithField("reporter", verdict.Reporter).
			Debug("only one entry sees failures of an upstream")
	}
}

func (r *runner) setOut(names []string) {
	slices.Sort(names)
	r.out = slices.Compact(names)
	r.outVersion++
}

func (r *runner) dump(now time.Time) broker.PoolState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.pool.Dump(now)
}
