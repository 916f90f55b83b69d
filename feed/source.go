package feed

import (
	"context"
	"maps"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/crash"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

// Constants that don't depend on the platform's limits.
const (
	// startTimeout is the timeout of calls by a daemon that was started again and has
	// no view. It includes the transfer of all tables over a slow link.
	startTimeout = 800 * time.Millisecond
	// retryPause and maxRetryPause are the first and the longest wait of the
	// exponential backoff after failed calls, before jitter.
	retryPause    = 200 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// maxReaders is the number of daemons of a zone, by rank, that may read the
	// store for the others when those before them cannot.
	maxReaders = 4
	// maxZoneReaders is the number of readers of another zone that are tried as
	// sources, and maxSources the number of all readers that are.
	maxZoneReaders = 2
	maxSources     = 6
	// fanOutPerCapacity is the number of children of a typical daemon in the tree of
	// sources. It grows with the capacity, within the given bounds.
	fanOutPerCapacity = 16
	minFanOut         = 4
	maxFanOut         = 40
	// maxStartSources is the number of sources that a daemon without a view tries
	// before it reads the store.
	maxStartSources = 2
	// rankDelay is the additional delay per rank, up to maxDelayedRank, before a
	// daemon without a fresh source reads the store itself.
	rankDelay      = 25 * time.Millisecond
	maxDelayedRank = 20
	// idlePause is the wait after a reply that was not newer than the view.
	idlePause = 50 * time.Millisecond
	// storeFailureTTL is how long the store is considered unreachable after a
	// failed call. It is longer than fallbackRetryWait so that it covers the
	// time between two calls during an outage.
	storeFailureTTL = 2 * time.Second
	// avoidDuration is how long a daemon is not followed after a failed call or
	// a stale reply.
	avoidDuration = 2 * time.Second
	// unfitDuration replaces avoidDuration for a source that gets its view from this
	// daemon or stops. It finds another source soon if this daemon has none to offer.
	unfitDuration = 300 * time.Millisecond
)

// step updates the view once from the first usable source, or by reading the store.
func (s *Service) step(ctx context.Context) {
	zones := s.zoneRanking(time.Now())
	own := zones.rank(s.self)
	sources := zones.sources(s.self)
	if len(s.View().Daemons) == 0 {
		sources = s.introduced
	}
	if s.storeFailedRecently(time.Now()) {
		sources = append(sources, zones.others(s.self)...)
	}
	for i, daemon := range sources {
		if now := time.Now(); s.isOverdue(now, own) && !s.storeFailedRecently(now) && s.View().Ready() {
			// Trying further sources first could take longer than a draining
			// server waits for the daemons to stop using it.
			s.readOnce(ctx)
		}
		if s.usable(time.Now(), daemon) && s.follow(ctx, daemon) {
			return
		}
		if now := time.Now(); !s.View().Ready() && i+1 >= maxStartSources && !s.isPatient(now) && !s.storeFailedRecently(now) {
			break
		}
	}
	if s.storeFailedRecently(time.Now()) && !s.View().Ready() && s.followSeeds(ctx) {
		return
	}
	now := time.Now()
	switch {
	case s.storeFailedRecently(now) && now.Before(s.retryAt):
		pause(ctx, min(s.retryAt.Sub(now), retryPause))
	case s.isPatient(now) && len(sources) > 0:
		pause(ctx, s.jitter(idlePause))
	case !s.View().Ready() && len(sources) > 0:
		s.readOnce(ctx)
	case own < maxReaders:
		s.readStore(ctx)
	case s.isOverdue(now, own):
		s.readOnce(ctx)
	default:
		pause(ctx, s.jitter(retryPause))
	}
}

// isPatient reports whether this daemon waits for a view from its sources although it
// has none.
func (s *Service) isPatient(now time.Time) bool {
	return !s.View().Ready() && now.Before(s.patientUntil)
}

// storeFailedRecently reports whether a call of this daemon to the store failed
// within storeFailureTTL. Older failures are ignored, because a daemon that
// follows another one doesn't call the store and so doesn't notice that it works
// again.
func (s *Service) storeFailedRecently(now time.Time) bool {
	return s.storeDown && now.Sub(s.storeFailedAt) < storeFailureTTL
}

// isOverdue reports whether the view is so old that a daemon of this rank should
// read the store itself.
func (s *Service) isOverdue(now time.Time, rank int) bool {
	return now.Sub(s.View().FreshAt) > s.settings.StaleAfter+rankDelay*time.Duration(min(rank, maxDelayedRank))
}

// usable reports whether a daemon is reachable and not avoided as a source.
func (s *Service) usable(now time.Time, daemon topo.Daemon) bool {
	return s.peers.Usable(daemon.Address) && !s.isAvoided(now, daemon.Name)
}

// avoid excludes a source for a while after an error, unless neither the source nor
// this daemon has a view yet.
func (s *Service) avoid(now time.Time, daemon topo.Daemon, err error) {
	switch {
	case errors.Is(err, errNoView) && !s.View().Ready():
	case errors.Is(err, errUnfitSource):
		s.avoided[daemon.Name] = now.Add(unfitDuration)
	default:
		s.avoided[daemon.Name] = now.Add(avoidDuration)
	}
}

// isAvoided reports whether a daemon failed as a source within avoidDuration.
func (s *Service) isAvoided(now time.Time, name string) bool {
	return now.Before(s.avoided[name])
}

// The timeouts of calls to sources, beyond the time that a source may hold a call.
// Heartbeats detect a lost connection earlier.
const (
	// followMargin is the time beyond Settings.Interval that a source holds a call
	// while the store does not confirm its view.
	followMargin = 150 * time.Millisecond
	// minFollowMargin and maxFollowMargin bound the timeout of a call. The minimum
	// leaves time for the reply to a call without a change.
	minFollowMargin = 100 * time.Millisecond
	maxFollowMargin = 500 * time.Millisecond
)

// followHold returns how long a source holds a call without a change or a
// confirmation.
func (s *Service) followHold() time.Duration { return s.settings.Interval + followMargin }

// follow makes one call to a daemon, applies the reply and reports whether the
// daemon is a good source.
func (s *Service) follow(ctx context.Context, daemon topo.Daemon) bool {
	if s.followed.name != daemon.Name {
		s.setSource(daemon.Name)
	}
	call, cancel := context.WithTimeout(ctx, s.followTimeout(time.Now()))
	defer cancel()
	request := s.followed.position
	request.Name, request.Gone = s.self.Name, s.goneDaemons(time.Now())
	request.Remembers = time.Since(s.View().RememberedSince)
	reply, err := wire.Call[FollowRequest, FollowReply](call, s.peers, daemon.Address, followMethod, request)
	now := time.Now()
	if err == nil {
		s.remember(now, reply.Remembers)
		err = reply.unpack()
	}
	stale := reply.Age > s.settings.StaleAfter
	switch {
	case err != nil:
	case reply.Unfit:
		err = errUnfitSource
	case !reply.Known:
		err = errNoView
	case stale:
		err = errStaleSource
	}
	applies := err == nil || (errors.Is(err, errStaleSource) && s.acceptsStale(now))
	if applies && !s.applyReply(now, reply) {
		pause(ctx, idlePause)
	}
	if err != nil {
		s.avoid(now, daemon, err)
		s.log.WithField("source", daemon.Name).WithError(err).Debug("source failed; trying another one")
		return false
	}
	return true
}

// acceptsStale reports whether this daemon applies the data of a stale source. A
// daemon without a view does so only if the store cannot be reached: a source that
// was cut off may still have servers and a configuration that are gone.
func (s *Service) acceptsStale(now time.Time) bool {
	return s.View().Ready() || s.storeFailedRecently(now)
}

// followTimeout returns the timeout for a call to a source. It shrinks with the
// age of the view, to leave time for trying another source.
func (s *Service) followTimeout(now time.Time) time.Duration {
	if !s.View().Ready() && !s.isPatient(now) && !s.storeFailedRecently(now) {
		return startTimeout
	}
	hold := s.followHold()
	left := s.settings.StaleAfter + hold + minFollowMargin - now.Sub(s.View().FreshAt)
	return min(max(left, hold+minFollowMargin), hold+maxFollowMargin)
}

// setSource switches to another source. The first request to it reports
// checksums but no revisions, since those belong to the previous source.
func (s *Service) setSource(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.followed = followedSource{name: name, position: FollowRequest{
		ServersSum: s.state.servers.Checksum(),
		DaemonsSum: s.state.daemons.Checksum(),
		CrashesSum: s.state.crashes.Checksum(),
	}}
	if s.state.config != nil {
		s.followed.position.Config = s.state.config.Version
	}
	s.log.WithField("source", name).Info("source of the view changed")
}

// applyReply applies the reply of another daemon and reports whether it is newer
// than the view. Servers and daemons of an older reply are ignored, because they
// would bring back removed ones.
func (s *Service) applyReply(now time.Time, reply FollowReply) bool {
	confirmedAt := now.Add(-reply.Age)
	newer := confirmedAt.After(s.View().FreshAt)
	resync := false
	s.update(func(state *state) bool {
		changed := state.applyConfig(reply.Config)
		if configAt := now.Add(-reply.ConfigAge); configAt.After(state.configAt) {
			state.configAt = configAt
		}
		// The source has not noticed yet that the store was restored, or is of a version
		// without eras.
		newer = newer && !isEarlier(reply.ServersEra, state.serverHold.era)
		if !newer {
			return changed
		}
		changed = s.applyTables(now, state, reply) || changed
		resync = state.serverHold.resync(now) || state.daemonHold.resync(now) || state.crashHold.resync(now)
		// No list is sent if the checksums match, as they do for two empty tables.
		changed = changed || !state.serversKnown
		state.serversKnown = true
		changed = changed || !maps.Equal(state.parts, reply.Parts)
		state.freshAt, state.path, state.parts = confirmedAt, reply.Path, reply.Parts
		return changed
	})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.followed.position = FollowRequest{}
	if s.state.config != nil {
		s.followed.position.Config = s.state.config.Version
		if reply.WantsConfig {
			s.followed.position.Newer = s.state.config
		}
	}
	if resync {
		// No table has these checksums, so that the source sends whole ones. That of an
		// empty table is 0.
		s.followed.position.ServersSum, s.followed.position.DaemonsSum = unknownSum, unknownSum
		s.followed.position.CrashesSum = unknownSum
		return newer
	}
	s.followed.position.ServersSum = s.state.servers.Checksum()
	s.followed.position.DaemonsSum = s.state.daemons.Checksum()
	s.followed.position.CrashesSum = s.state.crashes.Checksum()
	if newer {
		s.followed.position.Incarnation, s.followed.position.Confirmed = reply.Incarnation, reply.Confirmed
		s.followed.position.Servers = reply.ServersRev
		// Tables that were not applied are sent again.
		if !isEarlier(reply.DaemonsEra, s.state.daemonHold.era) {
			s.followed.position.Daemons = reply.DaemonsRev
		}
		if !isEarlier(reply.CrashesEra, s.state.crashHold.era) {
			s.followed.position.Crashes = reply.CrashesRev
		}
	}
	return newer
}

// isEarlier reports whether an era is before another one, as far as both are known.
func isEarlier(era, other uint64) bool { return era != 0 && era < other }

// applyTables applies the tables of a reply that are not of an earlier era of the store than
// those of this daemon, and reports whether that changed the contents.
func (s *Service) applyTables(now time.Time, state *state, reply FollowReply) bool {
	s.hasFollowed = true
	// The first reply of a source has all or nothing.
	first := s.followed.position.Incarnation != reply.Incarnation
	servers, restored := state.serverHold.Filter(now, state.servers, Batch[topo.Server]{
		Era: reply.ServersEra, Known: true, Changes: fromWire(now, reply.Servers, state.servers, &s.removals),
		Complete: reply.ServersComplete, Same: first && !reply.ServersComplete,
	})
	if restored {
		s.logRestore(state, s.followed.name)
	}
	changed := state.applyServers(servers.Changes, servers.Complete)
	if !isEarlier(reply.DaemonsEra, state.daemonHold.era) {
		changed = state.applyDaemons(now, Batch[topo.Daemon]{
			Era: reply.DaemonsEra, Known: reply.DaemonsKnown, Changes: reply.Daemons, Complete: reply.DaemonsComplete,
			Same: first && !reply.DaemonsComplete,
		}) || changed
	}
	if !isEarlier(reply.CrashesEra, state.crashHold.era) {
		changed = state.applyCrashes(now, Batch[crash.Record]{
			Era: reply.CrashesEra, Known: reply.CrashesKnown, Changes: reply.Crashes, Complete: reply.CrashesComplete,
			Same: first && !reply.CrashesComplete,
		}) || changed
	}
	return changed
}

// jitter returns a random duration between 0.5 and 1.5 times the given one.
func (s *Service) jitter(wait time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return wait/2 + time.Duration(s.random.Int64N(int64(wait)))
}

// pause waits for a duration or until the context ends.
func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
