package slots

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"dandeliondoor/choose"
	"dandeliondoor/crash"
	"dandeliondoor/feed"
	"dandeliondoor/logs"
	"dandeliondoor/reach"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

// Crashes counts the servers that ended while they ran the same request, for all
// brokers of a daemon. Every end goes to the homes of its server; what has ended several
// servers is stored for the fleet, so that it outlives processes and reaches each daemon,
// and the brokers of other services, with the view.
type Crashes struct {
	views ViewSource
	peers *wire.Peers
	store CrashStore
	log   *logrus.Entry
	homes *reach.Ranking[PoolKey]
	sends chan delivery
	wake  chan struct{}

	mutex   sync.Mutex
	counter *crash.Counter
	servers map[string]topo.Server
	leaving map[string]int64
	stored  map[crash.Fingerprint]crash.Record
	due     map[crash.Fingerprint]time.Time
	// backedUp is how many ends of records that could not be stored other daemons got.
	backedUp map[crash.Fingerprint]int

	// era is the era of the store, and renew contains the records that this daemon writes
	// again since the store was restored from a copy, if it is the first home, or becomes that
	// until the given times since those before it are lost.
	era   uint64
	renew map[crash.Fingerprint]time.Time
}

// CrashOption configures Crashes.
type CrashOption func(*Crashes)

// WithFleet shares the ends with other daemons and through the store.
func WithFleet(views ViewSource, peers *wire.Peers, store CrashStore) CrashOption {
	return func(c *Crashes) {
		c.views, c.peers, c.store, c.homes = views, peers, store, newRanking(views, peers)
	}
}

// WithCrashLog makes Crashes log each change of a count.
func WithCrashLog(log *logrus.Entry) CrashOption { return func(c *Crashes) { c.log = log } }

// NewCrashes returns counts of one daemon alone, unless an option shares them.
func NewCrashes(options ...CrashOption) *Crashes {
	c := &Crashes{
		log: logs.Discard().Part(Name), counter: crash.NewCounter(), due: make(map[crash.Fingerprint]time.Time),
		leaving: make(map[string]int64), renew: make(map[crash.Fingerprint]time.Time),
		backedUp: make(map[crash.Fingerprint]int),
		sends:    make(chan delivery, maxReports), wake: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Refused returns how long a request is refused because it crashes servers, 0 if it is
// not.
func (c *Crashes) Refused(now time.Time, identity crash.Identity) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.counter.Refused(now, identity)
}

// Admit reports whether a request may be sent to a server, and otherwise how long to
// wait; inFlight counts its copies under way.
func (c *Crashes) Admit(
	now time.Time, identity crash.Identity, inFlight func(fingerprint crash.Fingerprint) int,
) (wait time.Duration, admitted bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	wait, admitted = c.counter.Admit(now, identity, inFlight)
	for _, fingerprint := range identity.Fingerprints() {
		if admitted && c.counter.IsConfirmed(fingerprint) {
			c.schedule(now, fingerprint)
		}
	}
	return wait, admitted
}

// Withdraw takes back the tests of a request that was admitted at some time and then not sent
// to any server.
func (c *Crashes) Withdraw(admittedAt time.Time, identity crash.Identity) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counter.Withdraw(admittedAt, identity)
}

// SetView learns from a view which servers ended and what the fleet has stored.
func (c *Crashes) SetView(now time.Time, view *feed.View) {
	c.mutex.Lock()
	restored := c.servers != nil && view.StoreEra > c.era
	c.era = max(c.era, view.StoreEra)
	var reports []crash.Report
	if view.Servers != nil {
		for id, server := range c.servers {
			next, listed := view.Servers[id]
			if listed && next.Born == server.Born {
				continue
			}
			announced, leaving := c.leaving[id]
			if !server.Draining && (!leaving || announced != server.Born) {
				reports = append(reports, c.counter.EndServer(now, id, server.Born)...)
			}
			delete(c.leaving, id)
		}
		c.servers = view.Servers
	}
	c.stored = view.Crashes
	c.counter.RememberSince(view.RememberedSince)
	c.counter.SetStored(now, view.Crashes)
	c.scheduleStored(now, restored)
	deliveries := c.apply(now, reports)
	c.mutex.Unlock()
	c.send(deliveries)
}

// scheduleStored plans what the stored records are to be replaced by, for those whose first
// home this daemon is. After a restore of the store from a copy that is each of them, and
// each whose first home this daemon may become.
func (c *Crashes) scheduleStored(now time.Time, restored bool) {
	for fingerprint := range c.renew {
		if _, listed := c.stored[fingerprint]; !listed {
			delete(c.renew, fingerprint)
		}
	}
	for fingerprint := range c.stored {
		isFirst := c.homeRank(fingerprint) == 0
		if restored && (isFirst || c.mayBecomeHome(fingerprint)) {
			c.renew[fingerprint] = now.Add(renewPeriod)
		}
		if isFirst || restored {
			c.schedule(now, fingerprint)
		}
	}
}

// Released learns from the end of an attempt at a server of a service.
func (c *Crashes) Released(now time.Time, service string, release choose.Release) {
	c.mutex.Lock()
	if server, listed := c.servers[release.Server]; release.Leaving && listed && server.Born == release.Born {
		c.leaving[release.Server] = release.Born
	}
	deliveries := c.apply(now, c.reports(now, service, release))
	c.mutex.Unlock()
	if release.Loss == choose.LossEnded && c.views != nil && release.Daemon != c.views.Self().Name {
		// The daemon that made the attempt reports its end.
		return
	}
	c.send(deliveries)
}

// Receive applies the report of another daemon.
func (c *Crashes) Receive(now time.Time, report crash.Report) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.apply(now, []crash.Report{report})
}

// reports returns what follows from the end of an attempt.
func (c *Crashes) reports(now time.Time, service string, release choose.Release) []crash.Report {
	end := crash.End{
		Attempt: crash.Attempt{Daemon: release.Daemon, Ticket: release.Ticket},
		Service: service, Server: release.Server, Born: release.Born,
	}
	switch {
	case release.Loss == choose.LossEnded:
		return crash.EndReports(release.Identity, end, release.Duration, false)
	case release.Loss == choose.LossSilent:
		return c.counter.Silent(now, release.Identity, end, release.Duration)
	case release.Outcome != choose.Served && release.Outcome != choose.Failed && release.Outcome != choose.Shed:
		return nil
	}
	var reports []crash.Report
	if release.ConnAge > 0 {
		sentAt := now.Add(-release.Duration)
		reports = c.counter.Responded(now, release.Server, release.Born, now.Add(-release.ConnAge), sentAt)
	}
	if release.Outcome == choose.Served && c.counter.Suspects(release.Identity) {
		for _, fingerprint := range release.Identity.Fingerprints() {
			reports = append(reports, crash.Report{Kind: crash.Succeeded, Fingerprint: fingerprint})
		}
	}
	return reports
}

// apply applies reports and returns what other daemons have to know of the changes.
func (c *Crashes) apply(now time.Time, reports []crash.Report) []delivery {
	var deliveries []delivery
	for _, report := range reports {
		homes := c.homesOf(report.Fingerprint, report.End)
		observed := c.counter.Apply(now, report)
		if observed.Change == crash.ChangeNone {
			continue
		}
		deliveries = append(deliveries, c.deliveries(report, homes)...)
		c.logChange(report, observed)
		c.schedule(now, report.Fingerprint)
	}
	return deliveries
}

func (c *Crashes) logChange(report crash.Report, observed crash.Observation) {
	entry := c.log.WithField("fingerprint", observed.Fingerprint.String()).WithField("change", observed.Change).
		WithField("count", observed.Count).WithField("server", report.End.Server).WithField("daemon", report.End.Attempt.Daemon).
		WithField("late", report.Late)
	const message = "crash count changed"
	if observed.Count < storedEnds {
		entry.Debug(message)
		return
	}
	entry.Info(message)
}

// RefusedRequest is a request that is refused because it crashes servers.
type RefusedRequest struct {
	Fingerprint string        `yaml:"fingerprint"`
	Ends        int           `yaml:"ends"`
	Left        time.Duration `yaml:"left"`
}

// Dump returns the requests that are refused now.
func (c *Crashes) Dump(now time.Time) []RefusedRequest {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var refused []RefusedRequest
	for _, fingerprint := range c.counter.Fingerprints() {
		if left := c.counter.Refused(now, crash.Identity{Caller: fingerprint}); left > 0 {
			refused = append(refused, RefusedRequest{Fingerprint: fingerprint.String(), Ends: c.counter.Ends(fingerprint), Left: left})
		}
	}
	return refused
}
