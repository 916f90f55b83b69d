package feed

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/kernel"
	"dandeliondoor/rank"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

// Waits and limits at the start of a daemon.
const (
	// firstStartWait is the wait before listing the daemons when the whole fleet
	// starts for the first time. It lets all daemons register themselves.
	firstStartWait = 600 * time.Millisecond
	// announceSpread is the mean delay before a daemon registers itself when the whole
	// fleet starts for the first time, since the store handles one call at a time.
	announceSpread = 800 * time.Millisecond
	// announceWait is how long a daemon that was started again waits for the list of
	// the daemons before it registers itself.
	announceWait = 2 * time.Second
	// firstStartPatience is how long the daemons wait for a view from their sources
	// when the whole fleet starts for the first time, before they read the store.
	firstStartPatience = 2500 * time.Millisecond
	// listInterval is the mean time between two checks whether this daemon is listed.
	listInterval = time.Second
	// minUnlistedChecks and maxUnlistedChecks bound how often a daemon looks in vain for
	// its record before it registers again. A record that was written takes a while to
	// come back with the list.
	minUnlistedChecks = 2
	maxUnlistedChecks = 64
	// maxSeeds is the number of seeds that a daemon asks for its sources.
	maxSeeds = 2
)

// run finds the first sources, keeps this daemon registered, watches others, and follows
// other daemons or reads the store until the context ends.
func (s *Service) run(ctx context.Context) error {
	if !s.settings.FirstStart && !s.join(ctx) && !s.listDaemons(ctx) {
		s.followSeeds(ctx)
	}
	announced := kernel.Run(ctx, s.announce)
	watched := kernel.Run(ctx, s.watchDaemons)
	if s.settings.FirstStart {
		pause(ctx, firstStartWait)
		s.patientUntil = time.Now().Add(firstStartPatience)
		if !s.join(ctx) {
			s.listDaemons(ctx)
		}
	}
	for ctx.Err() == nil {
		s.step(ctx)
	}
	return errors.Join(<-announced, <-watched)
}

// listDaemons reads the list of daemons once and reports whether the store
// responded. If it didn't, the list comes from a later read or a source.
func (s *Service) listDaemons(ctx context.Context) bool {
	requestedAt := time.Now()
	changes, complete, err := s.sources.Daemons.Poll(ctx, 0)
	if err != nil {
		s.recordStoreFailure(time.Now(), err)
		return false
	}
	s.updateDaemons(requestedAt, changes, complete)
	return true
}

// announce registers this daemon in the store unless it is listed already, and registers it
// again whenever it is not listed any more, until it drains. A daemon that was started
// again and has its sources from a seed may be listed already, so it waits for the list.
func (s *Service) announce(ctx context.Context) error {
	if s.settings.FirstStart {
		pause(ctx, s.jitter(announceSpread))
	} else if s.joined {
		for end := time.Now().Add(announceWait); len(s.View().Daemons) == 0 && time.Now().Before(end) && ctx.Err() == nil; {
			pause(ctx, idlePause)
		}
	}
	if s.isListed() && !s.isCopied() {
		s.ownEra = s.View().StoreEra
	}
	for checks := minUnlistedChecks; ctx.Err() == nil && !s.draining.Load(); {
		s.register(ctx)
		if s.waitUnlisted(ctx, checks) {
			checks = minUnlistedChecks
			s.log.Warn("this daemon is not listed any more; registering it again")
		} else {
			checks = min(2*checks, maxUnlistedChecks)
		}
	}
	s.withdrawAgain(ctx)
	return nil
}

// withdrawAgain removes this daemon's record again whenever the store is restored from a copy,
// which may have it, while this daemon drains.
func (s *Service) withdrawAgain(ctx context.Context) {
	for era := s.View().StoreEra; ctx.Err() == nil; pause(ctx, listInterval) {
		if next := s.View().StoreEra; next != era {
			if err := s.sources.Daemons.Withdraw(ctx, s.self.Name); err != nil {
				s.log.WithError(err).Warn("removing the record of this daemon again failed; retrying")
				continue
			}
			era = next
		}
	}
}

// isCopied reports whether this daemon's record may be one of the copy that the store was
// restored from.
func (s *Service) isCopied() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.daemonHold.isAccepted(s.self.Name)
}

// isRenewalDue reports whether this daemon has to write its record again, since the store
// was restored from a copy after it did.
func (s *Service) isRenewalDue() bool {
	return s.View().StoreEra > max(s.ownEra, s.sources.Daemons.AnnouncedEra())
}

// register writes this daemon's record, with retries until that succeeds, the daemon is
// listed in the present era of the store or it drains.
func (s *Service) register(ctx context.Context) {
	for wait := retryPause; ctx.Err() == nil && !s.draining.Load() && (!s.isListed() || s.isRenewalDue()); wait = min(2*wait, maxRetryPause) {
		err := s.sources.Daemons.Announce(ctx, s.self)
		if err == nil {
			return
		}
		s.log.WithError(err).Warn("registering this daemon failed; retrying")
		pause(ctx, s.jitter(wait))
	}
}

// waitUnlisted returns when a number of checks in a row have not found this daemon in the
// list, when its record has to be written again, or when it drains. It reports whether the daemon was listed before.
func (s *Service) waitUnlisted(ctx context.Context, checks int) bool {
	listed := false
	for missed := 0; missed < checks && ctx.Err() == nil && !s.draining.Load(); missed++ {
		// The jitter spreads the writes of all daemons after a restore of the store.
		pause(ctx, s.jitter(listInterval))
		if s.isRenewalDue() {
			return false
		}
		if s.isListed() {
			listed, missed = true, -1
		}
	}
	return listed
}

// isListed reports whether the list of daemons has this daemon's present record.
func (s *Service) isListed() bool {
	daemons := s.View().Daemons
	i, found := slices.BinarySearchFunc(daemons, s.self.Name, func(d topo.Daemon, name string) int {
		return strings.Compare(d.Name, name)
	})
	return found && daemons[i] == s.self
}

// join asks a seed for the sources of this daemon and reports whether it got any. This
// takes fewer bytes than the list of all daemons, which many daemons would read from
// the store at the same time after a loss of power. Seeds list the daemons themselves.
func (s *Service) join(ctx context.Context) bool {
	if slices.Contains(s.settings.Seeds, s.self.Address) {
		return false
	}
	seeds := slices.Clone(s.settings.Seeds)
	slices.SortFunc(seeds, func(a, b netip.AddrPort) int {
		return cmp.Compare(rank.Score(s.self.Name, a.String()), rank.Score(s.self.Name, b.String()))
	})
	for _, seed := range seeds[:min(len(seeds), maxSeeds)] {
		call, cancel := context.WithTimeout(ctx, startTimeout)
		reply, err := wire.Call[JoinRequest, JoinReply](call, s.peers, seed, joinMethod, JoinRequest{Daemon: s.self})
		cancel()
		if err == nil && len(reply.Sources) > 0 {
			s.introduced, s.joined = reply.Sources, true
			return true
		}
	}
	return false
}

// followSeeds follows the first seed that is a good source and reports whether
// there was one.
func (s *Service) followSeeds(ctx context.Context) bool {
	for _, seed := range s.settings.Seeds {
		daemon := topo.Daemon{Name: seed.String(), Zone: s.self.Zone, Address: seed}
		if seed != s.self.Address && s.usable(time.Now(), daemon) && s.follow(ctx, daemon) {
			return true
		}
	}
	return false
}
