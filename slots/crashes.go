package slots

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"dandeliondoor/choose"
	"dandeliondoor/crash"
	"dandeliondoor/feed"
	"dandeliondoor/kernel"
	"dandeliondoor/logs"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

const (
	// crashHomes is how many daemons collect all ends of a fingerprint, whichever
	// daemon, part or service saw them, and crashShards the number of rankings of
	// daemons for it.
	crashHomes  = 2
	crashShards = 64
	// storedEnds is the number of ends from which a fingerprint is stored for the
	// whole fleet. Single ends are frequent and mostly have other causes.
	storedEnds = 2
	// storeDelay is how long daemons other than the first home wait for it to store
	// a fingerprint before they do.
	storeDelay = 700 * time.Millisecond
	// storeInterval is how often it is checked what is due to be stored, and
	// storeRetryWait the wait after a failure.
	storeInterval  = 100 * time.Millisecond
	storeRetryWait = 2 * time.Second
	// expiryInterval is how often old counts are dropped.
	expiryInterval = 5 * time.Second
	// crashSenders is how many reports are sent to other daemons at the same time,
	// reportTimeout bounds the call for one, and maxReports those that wait.
	crashSenders  = 4
	reportTimeout = 500 * time.Millisecond
	maxReports    = 1024
)

// CrashStore stores the ends of requests that crash servers, for the whole fleet.
type CrashStore interface {
	Put(ctx context.Context, fingerprint crash.Fingerprint, record crash.Record) error
	Remove(ctx context.Context, fingerprint crash.Fingerprint) error
}

// Crashes counts the servers that ended while they ran the same request, for all
// brokers of a daemon. Every end goes to the homes of its fingerprint; what has ended
// several servers is stored for the fleet, so that it outlives processes and reaches
// each daemon with its view.
type Crashes struct {
	views ViewSource
	peers *wire.Peers
	store CrashStore
	log   *logrus.Entry
	homes rankCache[uint64]
	sends chan delivery
	wake  chan struct{}

	mutex   sync.Mutex
	counter *crash.Counter
	servers map[string]topo.Server
	stored  map[crash.Fingerprint]crash.Record
	due     map[crash.Fingerprint]time.Time
}

// delivery is a report for another daemon.
type delivery struct {
	daemon topo.Daemon
	report crash.Report
}

// CrashOption configures Crashes.
type CrashOption func(*Crashes)

// WithFleet shares the ends with other daemons and through the store.
func WithFleet(views ViewSource, peers *wire.Peers, store CrashStore) CrashOption {
	return func(c *Crashes) { c.views, c.peers, c.store = views, peers, store }
}

// WithCrashLog makes Crashes log each change of a count.
func WithCrashLog(log *logrus.Entry) CrashOption { return func(c *Crashes) { c.log = log } }

// NewCrashes returns counts of one daemon alone, unless an option shares them.
func NewCrashes(options ...CrashOption) *Crashes {
	c := &Crashes{
		log: logs.Discard().Part(Name), counter: crash.NewCounter(), due: make(map[crash.Fingerprint]time.Time),
		sends: make(chan delivery, maxReports), wake: make(chan struct{}, 1),
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
	return c.counter.Admit(now, identity, inFlight)
}

// SetView learns from a view which servers ended and what the fleet has stored.
func (c *Crashes) SetView(now time.Time, view *feed.View) {
	c.mutex.Lock()
	var reports []crash.Report
	if view.Servers != nil {
		for id, server := range c.servers {
			next, listed := view.Servers[id]
			if !server.Draining && (!listed || next.Born != server.Born) {
				reports = append(reports, c.counter.EndServer(now, id, server.Born)...)
			}
		}
		c.servers = view.Servers
	}
	c.stored = view.Crashes
	c.counter.SetStored(now, view.Crashes)
	for fingerprint := range view.Crashes {
		if c.homeRank(fingerprint) == 0 {
			c.schedule(now, fingerprint)
		}
	}
	changed := c.apply(now, reports)
	c.mutex.Unlock()
	c.notify(changed)
}

// Released learns from the end of an attempt.
func (c *Crashes) Released(now time.Time, release choose.Release) {
	c.mutex.Lock()
	changed := c.apply(now, c.reports(now, release))
	c.mutex.Unlock()
	c.notify(changed)
}

// Receive applies the report of another daemon.
func (c *Crashes) Receive(now time.Time, report crash.Report) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.apply(now, []crash.Report{report})
}

// reports returns what follows from the end of an attempt.
func (c *Crashes) reports(now time.Time, release choose.Release) []crash.Report {
	end := crash.End{
		Attempt: crash.Attempt{Daemon: release.Daemon, Ticket: release.Ticket}, Server: release.Server, Born: release.Born,
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

// apply applies reports and returns those that changed a count.
func (c *Crashes) apply(now time.Time, reports []crash.Report) []crash.Report {
	var changed []crash.Report
	for _, report := range reports {
		observed := c.counter.Apply(now, report)
		if observed.Change == crash.ChangeNone {
			continue
		}
		changed = append(changed, report)
		c.logChange(report, observed)
		c.schedule(now, report.Fingerprint)
	}
	return changed
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

// notify sends reports to the homes of their fingerprints, and withdrawals also to the
// daemon that reported the end.
func (c *Crashes) notify(reports []crash.Report) {
	if c.views == nil {
		return
	}
	self := c.views.Self().Name
	for _, report := range reports {
		receivers := slices.Clone(c.homesOf(report.Fingerprint))
		if report.Kind == crash.Withdrawn {
			for _, daemon := range c.views.View().Daemons {
				if daemon.Name == report.End.Attempt.Daemon && !slices.Contains(receivers, daemon) {
					receivers = append(receivers, daemon)
				}
			}
		}
		for _, daemon := range receivers {
			if daemon.Name != self {
				c.send(delivery{daemon: daemon, report: report})
			}
		}
	}
}

// send queues a report for another daemon. If too many wait, it drops the report; the
// other home, the broker and this daemon still have it.
func (c *Crashes) send(d delivery) {
	select {
	case c.sends <- d:
	default:
		c.log.WithField("fingerprint", d.report.Fingerprint.String()).WithField("daemon", d.daemon.Name).
			Warn("too many reports of crashes wait; one dropped")
	}
}

// deliver sends the queued reports until the context ends.
func (c *Crashes) deliver(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-c.sends:
			call, cancel := context.WithTimeout(ctx, reportTimeout)
			_, err := wire.Call[crash.Report, Empty](call, c.peers, d.daemon.Address, crashMethod, d.report)
			cancel()
			if err != nil {
				c.log.WithField("daemon", d.daemon.Name).WithError(err).Debug("sending a report of a crash failed")
			}
		}
	}
}

// homesOf returns the daemons that collect the ends of a fingerprint.
func (c *Crashes) homesOf(fingerprint crash.Fingerprint) []topo.Daemon {
	if c.views == nil {
		return nil
	}
	shard := uint64(fingerprint) % crashShards
	return c.homes.get(shard, fmt.Sprintf("crashes/%d", shard), c.views.View().Daemons, crashHomes)
}

// homeRank returns the position of this daemon among the homes of a fingerprint, or
// crashHomes if it is none.
func (c *Crashes) homeRank(fingerprint crash.Fingerprint) int {
	for rank, daemon := range c.homesOf(fingerprint) {
		if daemon.Name == c.views.Self().Name {
			return rank
		}
	}
	return crashHomes
}

// schedule plans to store a fingerprint if its stored record lacks an end, or, on its
// first home, to remove a record that is no longer right.
func (c *Crashes) schedule(now time.Time, fingerprint crash.Fingerprint) {
	if c.store == nil || c.storeAction(fingerprint) == storeNothing {
		return
	}
	if _, planned := c.due[fingerprint]; planned {
		return
	}
	c.due[fingerprint] = now
	if c.homeRank(fingerprint) > 0 {
		c.due[fingerprint] = now.Add(storeDelay)
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// storeAction is what a stored record needs.
type storeAction uint8

const (
	storeNothing storeAction = iota
	storePut
	storeRemove
)

// storeAction returns what the stored record of a fingerprint needs: to be replaced if
// it lacks an end, to be removed if there are too few.
func (c *Crashes) storeAction(fingerprint crash.Fingerprint) storeAction {
	known, stored := c.counter.Record(fingerprint).Ends, c.stored[fingerprint].Ends
	switch {
	case len(known) >= storedEnds && slices.ContainsFunc(known, func(e crash.End) bool { return !slices.Contains(stored, e) }):
		return storePut
	case len(known) < storedEnds && len(stored) > 0 && c.homeRank(fingerprint) == 0:
		return storeRemove
	default:
		return storeNothing
	}
}

// Run sends reports, stores what is due and drops old counts until the context ends.
func (c *Crashes) Run(ctx context.Context) error {
	senders := make([]<-chan error, crashSenders)
	for i := range senders {
		senders[i] = kernel.Run(ctx, c.deliver)
	}
	err := c.keep(ctx)
	for _, end := range senders {
		err = errors.Join(err, <-end)
	}
	return err
}

// keep stores what is due and drops old counts until the context ends.
func (c *Crashes) keep(ctx context.Context) error {
	expiry := time.NewTicker(expiryInterval)
	defer expiry.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-expiry.C:
			c.expire(now)
		case <-c.wake:
			for c.storeDue(ctx, time.Now()) {
				sleep(ctx, storeInterval)
			}
		}
	}
}

// sleep waits for a period or until the context ends.
func sleep(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// expire drops old counts, with their stored records on the first home.
func (c *Crashes) expire(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, fingerprint := range c.counter.Expire(now) {
		c.schedule(now, fingerprint)
	}
}

// storeDue stores or removes the records that are due and reports whether others will
// be.
func (c *Crashes) storeDue(ctx context.Context, now time.Time) bool {
	for fingerprint, action := range c.takeDue(now) {
		var err error
		switch action {
		case storePut:
			c.mutex.Lock()
			record := c.counter.Record(fingerprint)
			c.mutex.Unlock()
			err = c.store.Put(ctx, fingerprint, record)
		case storeRemove:
			err = c.store.Remove(ctx, fingerprint)
		case storeNothing:
		}
		if err != nil && ctx.Err() == nil {
			c.log.WithField("fingerprint", fingerprint.String()).WithError(err).Warn("storing a request that crashes servers failed; retrying")
			c.mutex.Lock()
			c.due[fingerprint] = now.Add(storeRetryWait)
			c.mutex.Unlock()
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.due) > 0 && ctx.Err() == nil
}

// takeDue removes the fingerprints that are due from the plan and returns what their
// records need now.
func (c *Crashes) takeDue(now time.Time) map[crash.Fingerprint]storeAction {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var actions map[crash.Fingerprint]storeAction
	for fingerprint, at := range c.due {
		if now.Before(at) {
			continue
		}
		delete(c.due, fingerprint)
		if actions == nil {
			actions = make(map[crash.Fingerprint]storeAction)
		}
		actions[fingerprint] = c.storeAction(fingerprint)
	}
	return actions
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
