package grant

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"dandeliondoor/broker"
	"dandeliondoor/health"
)

// poolRunner serializes the events of one pool and passes each decision to the
// goroutine that waits for it.
type poolRunner struct {
	key             string
	log             *logrus.Entry
	metrics         *metrics
	sendFingerprint func(key string, report broker.FingerprintReported)

	mutex          sync.Mutex
	pool           *broker.Pool
	pending        map[broker.GrantID]chan AskReply
	ejected        []string
	ejectedVersion uint64
	lastUsed       time.Time
	lastHint       broker.Hint
	lastHintAt     time.Time
	stopped        bool
}

// ask passes an ask to the pool and returns a channel that receives the decision.
func (r *poolRunner) ask(now time.Time, request AskRequest) <-chan AskReply {
	replies := make(chan AskReply, 1)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.stopped {
		replies <- AskReply{Leaving: true}
		return replies
	}
	r.lastUsed = now
	for _, hold := range request.Holds {
		hold.Session = request.Ask.Session
		r.pool.RegisterHold(now, hold)
	}
	r.pending[request.Ask.ID] = replies
	r.apply(r.pool.Ask(now, request.Ask))
	return replies
}

func (r *poolRunner) release(now time.Time, release broker.Release) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastUsed = now
	r.apply(r.pool.Release(now, release))
}

func (r *poolRunner) cancel(now time.Time, id broker.GrantID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if replies, found := r.pending[id]; found {
		delete(r.pending, id)
		replies <- AskReply{Refused: &broker.Refused{ID: id, Reason: broker.ReasonDeadline}}
	}
	r.apply(r.pool.Cancel(now, id))
}

func (r *poolRunner) tick(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.apply(r.pool.Tick(now))
}

// update calls change with the lock held and applies the decisions that it returns.
func (r *poolRunner) update(change func(pool *broker.Pool) []broker.Action) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.apply(change(r.pool))
}

// stop stops granting slots, hands over the grants in use and then answers all
// pending asks with Leaving, so that their entries ask the next broker.
func (r *poolRunner) stop(now time.Time, handOver func(holds []broker.Hold)) {
	r.mutex.Lock()
	r.stopped = true
	holds := r.pool.Holds(now)
	r.mutex.Unlock()
	handOver(holds)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for id, replies := range r.pending {
		delete(r.pending, id)
		replies <- AskReply{Leaving: true}
	}
}

// idleSince reports whether the pool has had no ask or release since a time and no
// ask is pending.
func (r *poolRunner) idleSince(since time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.lastUsed.Before(since) && len(r.pending) == 0
}

// dueHint returns the pool's load hint and whether it is due to be sent to the
// other pools of the service: every busyHintInterval while requests wait or no
// slot is free, otherwise every normalHintInterval.
func (r *poolRunner) dueHint(now time.Time) (broker.Hint, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	hint := r.pool.Hint(now)
	busy := hint.Wait > 0 || r.lastHint.Wait > 0 || hint.Free == 0
	interval := normalHintInterval
	if busy {
		interval = busyHintInterval
	}
	if now.Sub(r.lastHintAt) < interval {
		return hint, false
	}
	r.lastHint, r.lastHintAt = hint, now
	return hint, true
}

// apply carries out the decisions of the pool. The caller holds the lock.
func (r *poolRunner) apply(actions []broker.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case broker.Granted:
			r.metrics.decisions.WithLabelValues(decisionGranted).Inc()
			r.reply(action.ID, AskReply{Granted: &action})
		case broker.Refused:
			r.metrics.decisions.WithLabelValues(string(action.Reason)).Inc()
			r.reply(action.ID, AskReply{Refused: &action})
		case broker.Redirected:
			r.metrics.decisions.WithLabelValues(decisionRedirected).Inc()
			r.reply(action.ID, AskReply{Redirected: &action})
		case broker.HealthReported:
			r.applyVerdict(action.Verdict)
		case broker.FingerprintReported:
			r.sendFingerprint(r.key, action)
		}
	}
}

// reply answers a pending ask. A grant is cancelled if nobody waits for it or the
// runner has stopped.
func (r *poolRunner) reply(id broker.GrantID, reply AskReply) {
	replies, found := r.pending[id]
	if r.stopped && reply.Granted != nil {
		found = false
	}
	if !found {
		if reply.Granted != nil {
			r.apply(r.pool.Cancel(time.Now(), id))
		}
		return
	}
	delete(r.pending, id)
	reply.OutVersion, reply.Out = r.ejectedVersion, r.ejected
	replies <- reply
}

func (r *poolRunner) applyVerdict(verdict health.Verdict) {
	log := r.log.WithField("pool", r.key)
	switch verdict := verdict.(type) {
	case health.Ejected:
		r.metrics.ejections.WithLabelValues(string(verdict.Cause)).Inc()
		log.WithField("upstream", verdict.Upstream).WithField("cause", verdict.Cause).Warn("upstream ejected")
		r.setEjected(append(slices.Clone(r.ejected), verdict.Upstream))
	case health.Readmitted:
		log.WithField("upstream", verdict.Upstream).WithField("reason", verdict.Reason).Info("upstream readmitted")
		r.setEjected(slices.DeleteFunc(slices.Clone(r.ejected), func(name string) bool { return name == verdict.Upstream }))
	case health.FloorReached:
		r.metrics.floorReached.Inc()
		log.WithField("upstream", verdict.Upstream).WithField("cause", verdict.Cause).
			Debug("unhealthy upstream not ejected: capacity floor reached")
	case health.PathCut:
		r.metrics.pathCuts.Inc()
		log.WithField("upstream", verdict.Upstream).WithField("reporter", verdict.Reporter).
			Debug("only one entry reports failures of the upstream")
	}
}

// setEjected replaces the list of ejected upstreams. Entries receive the list with
// their next reply because its version changes.
func (r *poolRunner) setEjected(names []string) {
	slices.Sort(names)
	r.ejected = slices.Compact(names)
	r.ejectedVersion++
}

func (r *poolRunner) dump(now time.Time) broker.PoolState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.pool.Dump(now)
}
