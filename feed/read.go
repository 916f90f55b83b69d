package feed

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/crash"
	"dandeliondoor/kernel"
	"dandeliondoor/topo"
)

const (
	// daemonsPollHold is how long the store may hold a long poll for the
	// daemons, whose list changes rarely.
	daemonsPollHold = 10 * time.Second
	// configHoldIntervals is how long the store may hold a long poll for the
	// configuration, in multiples of Settings.Interval. It is short because a
	// call that is held while a record is stored may miss the record.
	configHoldIntervals = 2
	// crashIntervals is the time between two reads of the crashes, in multiples of
	// Settings.Interval. Long polls would return at each of many changes.
	crashIntervals = 2
	// fallbackRetryWait is the wait after a failed read by a daemon that usually
	// gets its view from other daemons.
	fallbackRetryWait = 1500 * time.Millisecond
)

// readStore reads the store repeatedly while this daemon is the reader of its
// zone and the store responds.
func (s *Service) readStore(ctx context.Context) {
	if s.followed.name != s.self.Name {
		s.setSource(s.self.Name)
	}
	// The data received from other daemons since the last read may differ from
	// what was read then, so all keys are listed again.
	s.sources.Servers.Relist()
	if s.hasFollowed {
		s.hasFollowed = false
		s.sources.Daemons.Relist()
		s.sources.Crashes.Relist()
	}
	if !s.readServers(ctx) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	configs := kernel.Run(ctx, func(ctx context.Context) error {
		return longPoll(ctx, s, s.sources.Configs, configHoldIntervals*s.settings.Interval,
			func(requestedAt time.Time, changes []topo.Change[*topo.Config], _ bool) {
				s.updateConfigs(ctx, requestedAt, s.withMissingConfig(ctx, changes))
			})
	})
	daemons := kernel.Run(ctx, func(ctx context.Context) error {
		return longPoll(ctx, s, s.sources.Daemons, daemonsPollHold, s.updateDaemons)
	})
	crashes := kernel.Run(ctx, s.readCrashes)
	removals := kernel.Run(ctx, s.removeGone)
	era := s.sources.Servers.Era()
	for ctx.Err() == nil && s.isReader(time.Now()) {
		pause(ctx, s.settings.Interval)
		// Long polls that the store still holds after an outage or a restore may never
		// be completed, so either cancels them and they are started again.
		if !s.readServers(ctx) || s.sources.Servers.Era() != era {
			break
		}
	}
	cancel()
	if err := errors.Join(<-configs, <-daemons, <-crashes, <-removals); err != nil {
		s.log.WithError(err).Warn("long polls ended with an error")
	}
}

// isReader reports whether this daemon reads the store: it has to when no daemon of
// its zone before it in the order of ranks, up to maxReaders, is usable, and none
// that may read for the zones before its own.
func (s *Service) isReader(now time.Time) bool {
	zones := s.zoneRanking(now)
	return !slices.ContainsFunc(zones.readersBefore(s.self), func(d topo.Daemon) bool { return s.usable(now, d) })
}

// readOnce reads the servers and the configuration once, for a daemon that has had
// no fresh source for too long.
func (s *Service) readOnce(ctx context.Context) {
	if s.followed.name != s.self.Name {
		s.setSource(s.self.Name)
	}
	s.sources.Servers.Relist()
	if !s.readServers(ctx) {
		s.retryAt = time.Now().Add(fallbackRetryWait)
		return
	}
	requestedAt := time.Now()
	changes, _, err := s.sources.Configs.Poll(ctx, 0)
	if err != nil {
		s.log.WithError(err).Warn("reading the configuration failed")
		return
	}
	s.updateConfigs(ctx, requestedAt, changes)
}

// readServers reads the servers once and reports whether the store responded.
func (s *Service) readServers(ctx context.Context) bool {
	requestedAt := time.Now()
	changes, complete, err := s.sources.Servers.Poll(ctx, 0)
	now := time.Now()
	if err != nil && ctx.Err() != nil {
		return false
	}
	if err != nil {
		s.recordStoreFailure(now, err)
		return false
	}
	confirmedAt := s.View().FreshAt
	if s.storeDown {
		s.log.WithField("age", now.Sub(confirmedAt).String()).Info("store regained")
		s.storeDown = false
	}
	s.update(func(state *state) bool {
		// A failure before the store last confirmed the view, to this daemon or
		// another one, doesn't show that there was an outage since.
		failedSince := s.storeFailedAt.After(confirmedAt)
		if failedSince && !confirmedAt.IsZero() && now.Sub(confirmedAt) > s.settings.StaleAfter {
			s.removals.storeRecovered(now)
		}
		state.freshAt, state.path = requestedAt, nil
		current, restored := state.serverHold.Filter(now, state.servers, Batch[topo.Server]{
			Era: s.sources.Servers.Era(), Known: true, Changes: changes, Complete: complete,
		})
		if restored {
			s.logRestore(state, s.self.Name)
		}
		filtered, removeUnlisted := s.removals.filter(now, state.servers, current.Changes, current.Complete)
		state.serversKnown = state.serversKnown || complete
		return state.applyServers(filtered, removeUnlisted) || complete
	})
	return true
}

// logRestore logs what a restore of the store from a copy affects. The mutex must be held.
func (s *Service) logRestore(state *state, source string) {
	s.log.WithField("era", state.serverHold.era).WithField("source", source).
		WithField("servers_held", len(state.serverHold.held)).WithField("servers_ignored", len(state.serverHold.doubted)).
		Warn("store was restored from a copy; what was in effect stays in use")
}

// recordStoreFailure records a failed call to the store and when to try again.
func (s *Service) recordStoreFailure(now time.Time, err error) {
	if !s.storeDown {
		s.log.WithError(err).WithField("age", now.Sub(s.View().FreshAt).String()).Warn("store lost; the known servers stay in use")
		s.storeDown = true
		s.retryWait = retryPause
	}
	s.storeFailedAt = now
	s.retryAt = now.Add(s.jitter(s.retryWait))
	s.retryWait = min(2*s.retryWait, maxRetryPause)
}

// updateConfigs applies the reply to a request for the configuration. A request that the
// store holds may miss a change, so it confirms the configuration as of when it was sent. The
// first configuration of this daemon may come from a copy that the store was restored from,
// so that others may have a newer one.
func (s *Service) updateConfigs(ctx context.Context, requestedAt time.Time, changes []topo.Change[*topo.Config]) {
	if s.View().Table == nil {
		for i, change := range changes {
			if change.Copied && !change.Gone {
				changes[i].Value = s.newestConfig(ctx, change.Value)
			}
		}
	}
	s.update(func(state *state) bool {
		if requestedAt.After(state.configAt) {
			state.configAt = requestedAt
		}
		changed := false
		for _, change := range changes {
			changed = state.applyConfig(change.Value) || changed
		}
		return changed
	})
}

func (s *Service) updateDaemons(_ time.Time, changes []topo.Change[topo.Daemon], complete bool) {
	b := Batch[topo.Daemon]{Era: s.sources.Daemons.Era(), Known: true, Changes: changes, Complete: complete}
	s.update(func(state *state) bool { return state.applyDaemons(time.Now(), b) })
	position := s.sources.Daemons.Position()
	s.listedAt.Store(&position)
}

func (s *Service) updateCrashes(changes []topo.Change[crash.Record], complete bool) {
	b := Batch[crash.Record]{Era: s.sources.Crashes.Era(), Known: true, Changes: changes, Complete: complete}
	s.update(func(state *state) bool { return state.applyCrashes(time.Now(), b) })
}

// removeEndedCrashes removes the records of the copy that had ended before the store was
// restored and were not written again.
func (s *Service) removeEndedCrashes(ctx context.Context, now time.Time) error {
	s.mutex.Lock()
	keys := s.state.crashHold.DoubtedSince(now.Add(-RecordGrace))
	s.mutex.Unlock()
	removed := make(map[crash.Fingerprint]crash.Record)
	for _, key := range keys {
		if fingerprint, err := crash.ParseFingerprint(key); err == nil {
			removed[fingerprint] = crash.Record{}
		}
	}
	if len(removed) == 0 {
		return nil
	}
	return s.sources.Crashes.Update(ctx, removed)
}

// readCrashes reads the requests that crash servers at intervals until the context ends.
func (s *Service) readCrashes(ctx context.Context) error {
	for ctx.Err() == nil {
		changes, complete, err := s.sources.Crashes.Poll(ctx, 0)
		if err != nil {
			s.log.WithError(err).Debug("reading the requests that crash servers failed; retrying")
		} else {
			s.updateCrashes(changes, complete)
			if err := s.removeEndedCrashes(ctx, time.Now()); err != nil {
				s.log.WithError(err).Info("removing records of a restored store that had ended failed; retrying")
			}
		}
		pause(ctx, crashIntervals*s.settings.Interval)
	}
	return nil
}

// longPoll polls one part of the store with long polls until the context ends.
func longPoll[V any](
	ctx context.Context, s *Service, poller Poller[V], hold time.Duration,
	apply func(requestedAt time.Time, changes []topo.Change[V], complete bool),
) error {
	wait := retryPause
	for ctx.Err() == nil {
		requestedAt := time.Now()
		changes, complete, err := poller.Poll(ctx, hold)
		if err != nil {
			s.log.WithError(err).Debug("long poll failed; retrying")
			pause(ctx, s.jitter(wait))
			wait = min(2*wait, maxRetryPause)
			continue
		}
		wait = retryPause
		apply(requestedAt, changes, complete)
	}
	return nil
}
