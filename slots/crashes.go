package slots

import (
	"context"
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
	// crashHomes is how many daemons collect the ends of a pool's servers: its broker
	// and the next one by rank, which takes over from it.
	crashHomes = 2
	// storedEnds is the number of ends from which a fingerprint is stored for the
	// whole fleet. Single ends are frequent and mostly have other causes.
	storedEnds = 2
	// proofDelay is how long a fingerprint with fewer than crash.MaxEnds ends is not
	// stored, since responses of the servers may withdraw an end.
	proofDelay = 500 * time.Millisecond
	// storeDelay is how long daemons other than the first home wait for it to store
	// a fingerprint before they do.
	storeDelay = 1500 * time.Millisecond
	// storeInterval is how often it is checked what is due to be stored, and
	// storeRetryWait the wait after a failure.
	storeInterval  = 100 * time.Millisecond
	storeRetryWait = 2 * time.Second
	// maxStored bounds the records of one call to the store.
	maxStored = 256
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
	// Update replaces records; an empty one removes that of its fingerprint.
	Update(ctx context.Context, records map[crash.Fingerprint]crash.Record) error
}

// Crashes counts the servers that ended while they ran the same request, for all
// brokers of a daemon. Every end goes to the homes of its server; what has ended several
// servers is stored for the fleet, so that it outlives processes and reaches each daemon,
// and the brokers of other services, with the view.
type Crashes struct {
	views ViewSource
	peers *wire.Peers
	store CrashStore
	log   *logrus.Entry
	homes rankCache[PoolKey]
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
	deliveries := c.apply(now, reports)
	c.mutex.Unlock()
	c.send(deliveries)
}

// Released learns from the end of an attempt at a server of a service.
func (c *Crashes) Released(now time.Time, service string, release choose.Release) {
	c.mutex.Lock()
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

// deliveries returns a report for its homes, and a withdrawal also for the daemon that
// reported the end.
func (c *Crashes) deliveries(report crash.Report, homes []topo.Daemon) []delivery {
	if c.views == nil {
		return nil
	}
	receivers := slices.Clone(homes)
	if report.Kind == crash.Withdrawn {
		for _, daemon := range c.views.View().Daemons {
			if daemon.Name == report.End.Attempt.Daemon && !slices.Contains(receivers, daemon) {
				receivers = append(receivers, daemon)
			}
		}
	}
	var deliveries []delivery
	for _, daemon := range receivers {
		if daemon.Name != c.views.Self().Name {
			deliveries = append(deliveries, delivery{daemon: daemon, report: report})
		}
	}
	return deliveries
}

// send queues reports for other daemons. If too many wait, it drops the report; the
// other home, the broker and this daemon still have it.
func (c *Crashes) send(deliveries []delivery) {
	for _, d := range deliveries {
		select {
		case c.sends <- d:
		default:
			c.log.WithField("fingerprint", d.report.Fingerprint.String()).WithField("daemon", d.daemon.Name).
				Warn("too many reports of crashes wait; one dropped")
		}
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

// homesOf returns the daemons that collect an end; without one, those that collect the
// known ends of the fingerprint.
func (c *Crashes) homesOf(fingerprint crash.Fingerprint, end crash.End) []topo.Daemon {
	if c.views == nil {
		return nil
	}
	ends := []crash.End{end}
	if end.Service == "" {
		ends = c.counter.Record(fingerprint).Ends
	}
	view := c.views.View()
	var homes []topo.Daemon
	for _, e := range ends {
		pool := poolOf(e.Service, e.Server, view.PartCount(e.Service))
		for _, daemon := range c.homes.get(pool, pool.rankingKey(), view.Daemons, crashHomes) {
			if !slices.Contains(homes, daemon) {
				homes = append(homes, daemon)
			}
		}
	}
	return homes
}

// homeRank returns the position of this daemon among the homes of the first known end of
// a fingerprint, or crashHomes if it is none of them.
func (c *Crashes) homeRank(fingerprint crash.Fingerprint) int {
	ends := c.counter.Record(fingerprint).Ends
	if len(ends) == 0 {
		ends = c.stored[fingerprint].Ends
	}
	if len(ends) > 0 {
		for rank, daemon := range c.homesOf(fingerprint, ends[0]) {
			if daemon.Name == c.views.Self().Name {
				return rank
			}
		}
	}
	return crashHomes
}

// schedule plans to store a fingerprint if its stored record lacks an end, or, on its
// first home, to remove a record that is no longer right.
func (c *Crashes) schedule(now time.Time, fingerprint crash.Fingerprint) {
	if c.store == nil {
		return
	}
	if _, changes := c.nextRecord(fingerprint); !changes {
		return
	}
	delay := time.Duration(0)
	if c.counter.Ends(fingerprint) < crash.MaxEnds {
		delay = proofDelay
	}
	if c.homeRank(fingerprint) > 0 {
		delay += storeDelay
	}
	if at, planned := c.due[fingerprint]; !planned || now.Add(delay).Before(at) {
		c.due[fingerprint] = now.Add(delay)
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// nextRecord returns what the stored record of a fingerprint is to be replaced by, and
// whether it is: it may lack an end, or, on the first home, have to go because too few
// are left.
func (c *Crashes) nextRecord(fingerprint crash.Fingerprint) (crash.Record, bool) {
	known, stored := c.counter.Record(fingerprint), c.stored[fingerprint].Ends
	switch {
	case len(known.Ends) >= storedEnds:
		return known, slices.ContainsFunc(known.Ends, func(e crash.End) bool { return !slices.Contains(stored, e) })
	default:
		return crash.Record{}, len(stored) > 0 && c.homeRank(fingerprint) == 0
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

// storeDue stores the records that are due, in one call, and reports whether others
// will be.
func (c *Crashes) storeDue(ctx context.Context, now time.Time) bool {
	var err error
	due := c.takeDue(now)
	if len(due) > 0 {
		err = c.store.Update(ctx, due)
	}
	if err != nil && ctx.Err() == nil {
		c.log.WithField("fingerprints", len(due)).WithError(err).Warn("storing requests that crash servers failed; retrying")
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		for fingerprint := range due {
			c.due[fingerprint] = now.Add(storeRetryWait)
		}
	}
	return len(c.due) > 0 && ctx.Err() == nil
}

// takeDue removes the fingerprints that are due from the plan and returns the records
// that change now.
func (c *Crashes) takeDue(now time.Time) map[crash.Fingerprint]crash.Record {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	records := make(map[crash.Fingerprint]crash.Record)
	for fingerprint, at := range c.due {
		if now.Before(at) || len(records) == maxStored {
			continue
		}
		delete(c.due, fingerprint)
		if record, changes := c.nextRecord(fingerprint); changes {
			records[fingerprint] = record
		}
	}
	return records
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
