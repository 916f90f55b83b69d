package slots

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/crash"
	"dandeliondoor/kernel"
	"dandeliondoor/reach"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

const (
	// crashHomes is how many daemons collect the ends of a pool's servers: its broker
	// and the next living one by rank, which takes over from it.
	crashHomes = 2
	// crashBackups is how many daemons get the ends that a home could not store, so that they
	// outlive the loss of the homes and of the daemons that reported them.
	crashBackups = 8
	// storedEnds is the number of ends from which a fingerprint is stored for the
	// whole fleet. Single ends are frequent and mostly have other causes.
	storedEnds = 2
	// proofDelay is how long a fingerprint that is not confirmed is not stored, since
	// responses of the servers may withdraw an end.
	proofDelay = 500 * time.Millisecond
	// storeDelay is how long daemons other than the first home wait for it to store
	// a fingerprint before they do.
	storeDelay = 1500 * time.Millisecond
	// storeInterval is how often it is checked what is due to be stored, and
	// storeRetryWait the wait after a failure.
	storeInterval  = 100 * time.Millisecond
	storeRetryWait = 2 * time.Second
	// renewPeriod is how long after a restore of the store a daemon watches whether the
	// daemons before it are lost, whose records it then writes again. Readers of the store
	// keep what the copy lacks for as long. renewInterval is the time between two looks, and
	// maxRenewPings bounds the daemons that are called in each.
	renewPeriod   = 10 * time.Second
	renewInterval = 500 * time.Millisecond
	maxRenewPings = 8
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

// delivery is a report for another daemon.
type delivery struct {
	daemon topo.Daemon
	report crash.Report
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
		if c.backedUp[report.Fingerprint] > 0 {
			receivers = c.withBackups(receivers, report.End)
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

// withBackups adds the daemons that get an end which could not be stored, whether or not they
// have been called before.
func (c *Crashes) withBackups(receivers []topo.Daemon, end crash.End) []topo.Daemon {
	names := c.homes.Top(PoolKey{Service: end.Service, Parts: 1}, crashBackups)
	for _, daemon := range c.views.View().Daemons {
		if slices.Contains(names, daemon.Name) && !slices.Contains(receivers, daemon) {
			receivers = append(receivers, daemon)
		}
	}
	return receivers
}

// backUp returns reports of the ends that this daemon, as a home, could not store and has not
// sent to others yet.
func (c *Crashes) backUp(fingerprint crash.Fingerprint) []delivery {
	ends := c.counter.Record(fingerprint).Ends
	if len(ends) <= c.backedUp[fingerprint] || c.homeRank(fingerprint) == crashHomes {
		return nil
	}
	var deliveries []delivery
	for _, end := range ends[c.backedUp[fingerprint]:] {
		report := crash.Report{Kind: crash.Unstored, Fingerprint: fingerprint, End: end}
		deliveries = append(deliveries, c.deliveries(report, c.withBackups(nil, ends[0]))...)
	}
	c.backedUp[fingerprint] = len(ends)
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
		for _, daemon := range c.homes.Living(pool, crashHomes, anyRank) {
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
	_, changes := c.nextRecord(fingerprint)
	if _, renewed := c.renew[fingerprint]; !changes && !renewed {
		return
	}
	delay := time.Duration(0)
	if c.counter.Ends(fingerprint) >= storedEnds && !c.counter.IsConfirmed(fingerprint) {
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
// whether it is: it may lack an end, a test or a loss, or, on the first home, have to go because too few
// are left, or be missing from the copy that the store was restored from.
func (c *Crashes) nextRecord(fingerprint crash.Fingerprint) (crash.Record, bool) {
	known, stored := c.counter.Record(fingerprint), c.stored[fingerprint]
	if len(known.Ends) < storedEnds {
		return crash.Record{}, len(stored.Ends) > 0 && c.homeRank(fingerprint) == 0
	}
	lacksEnd := slices.ContainsFunc(known.Ends, func(e crash.End) bool { return !slices.Contains(stored.Ends, e) })
	_, renewed := c.renew[fingerprint]
	renewed = renewed && c.homeRank(fingerprint) == 0
	return known, renewed || lacksEnd || known.Tests > stored.Tests || known.AfterLoss > stored.AfterLoss
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
	c.checkHomes(ctx, now)
	due, era := c.takeDue(now)
	if len(due) > 0 {
		err = c.store.Update(ctx, due)
	}
	if err != nil && ctx.Err() == nil {
		c.log.WithField("fingerprints", len(due)).WithError(err).Warn("storing requests that crash servers failed; retrying")
	}
	deliveries, isDue := c.recordStored(now, due, era, err)
	c.send(deliveries)
	return isDue && ctx.Err() == nil
}

// recordStored records the result of a call that stored records, in an era of the store as far
// as it was known. It returns what other daemons have to know of those that were not stored, and
// whether any record is due.
func (c *Crashes) recordStored(
	now time.Time, records map[crash.Fingerprint]crash.Record, era uint64, err error,
) (deliveries []delivery, isDue bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for fingerprint := range records {
		if err != nil {
			c.due[fingerprint] = now.Add(storeRetryWait)
			deliveries = append(deliveries, c.backUp(fingerprint)...)
			continue
		}
		delete(c.backedUp, fingerprint)
		if era == c.era {
			// Otherwise the write may have been executed before the restore that was noticed
			// meanwhile.
			delete(c.renew, fingerprint)
		}
	}
	return deliveries, len(c.due) > 0
}

// takeDue removes the fingerprints that are due from the plan and returns the records
// that change now, and the era of the store as far as it is known.
func (c *Crashes) takeDue(now time.Time) (map[crash.Fingerprint]crash.Record, uint64) {
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
			continue
		}
		delete(c.backedUp, fingerprint)
		if until, renewed := c.renew[fingerprint]; renewed && now.Before(until) {
			c.due[fingerprint] = now.Add(renewInterval)
		} else {
			delete(c.renew, fingerprint)
		}
	}
	return records, c.era
}

// mayBecomeHome reports whether this daemon is one of the preferred brokers of the first known
// end of a fingerprint, so that it becomes its first home once those before it are lost.
func (c *Crashes) mayBecomeHome(fingerprint crash.Fingerprint) bool {
	if c.views == nil {
		return false
	}
	ends := c.stored[fingerprint].Ends
	if len(ends) == 0 {
		return false
	}
	view := c.views.View()
	pool := poolOf(ends[0].Service, ends[0].Server, view.PartCount(ends[0].Service))
	return c.homes.RankOf(pool, c.views.Self().Name) < reach.Preferred
}

// checkHomes calls the homes of the records that are due to be written again by this daemon if
// these are lost. A home that this daemon has not called counts as reached otherwise. The calls
// run at the same time, since nothing is stored meanwhile.
func (c *Crashes) checkHomes(ctx context.Context, now time.Time) {
	homes := c.unsureHomes(now)
	ends := make([]<-chan error, len(homes))
	for i, daemon := range homes {
		ends[i] = kernel.Run(ctx, func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			return wire.Ping(ctx, c.peers, daemon.Address)
		})
	}
	for i, end := range ends {
		if err := <-end; err != nil {
			c.log.WithField("daemon", homes[i].Name).WithError(err).Debug("a home of crashes is out of reach")
		}
	}
}

// unsureHomes returns the homes that checkHomes calls, at most maxRenewPings.
func (c *Crashes) unsureHomes(now time.Time) []topo.Daemon {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var homes []topo.Daemon
	for fingerprint := range c.renew {
		if at, planned := c.due[fingerprint]; !planned || now.Before(at) || c.homeRank(fingerprint) == 0 {
			continue
		}
		for _, daemon := range c.homesOf(fingerprint, crash.End{}) {
			if len(homes) == maxRenewPings {
				return homes
			}
			if daemon.Name != c.views.Self().Name && !slices.Contains(homes, daemon) {
				homes = append(homes, daemon)
			}
		}
	}
	return homes
}
