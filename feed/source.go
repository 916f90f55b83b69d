package feed

import (
	"context"
	"slices"
	"time"

	"dandeliondoor/kernel"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

// The times of the feed that follow from no bound of the platform.
const (
	// settleTime lets all daemons announce themselves at the first start.
	settleTime = 600 * time.Millisecond
	// retryPause and maxRetryPause bound the wait after a failed call.
	retryPause    = 200 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// sourceTries is how many daemons of the zone read the store for the others
	// when those before them cannot.
	sourceTries = 4
	// fanOut is how many daemons follow one other.
	fanOut = 8
	// rankPatience is how much later each further rank reads for itself when no
	// source is fresh, up to maxPatientRank.
	rankPatience   = 25 * time.Millisecond
	maxPatientRank = 20
	// idlePause is the wait after a reply that brought nothing newer.
	idlePause = 50 * time.Millisecond
	// failureTime is how long a failed call to the store counts; it is longer
	// than lateRetry, so that it holds throughout an outage.
	failureTime = 2 * time.Second
	// avoidTime is how long a daemon is not followed whose view was old.
	avoidTime = 2 * time.Second
)

// run lists the daemons, announces this one unless it stands there already, and
// then follows or reads until the context ends.
func (s *Service) run(ctx context.Context) error {
	if !s.settings.FirstStart && !s.listDaemons(ctx) {
		s.followSeeds(ctx)
	}
	announced := kernel.Run(ctx, s.announce)
	if s.settings.FirstStart {
		pause(ctx, settleTime)
		s.listDaemons(ctx)
	}
	for ctx.Err() == nil {
		s.step(ctx)
	}
	return <-announced
}

// listDaemons reads the list of daemons once and reports whether the store
// answered; if not, a reader brings the list later.
func (s *Service) listDaemons(ctx context.Context) bool {
	changes, complete, err := s.sources.Daemons.Poll(ctx, 0)
	if err != nil {
		s.log.WithError(err).Warn("daemons could not be listed")
		return false
	}
	s.takeDaemons(changes, complete)
	return true
}

// announce stores this daemon's record, again and again until it is there.
func (s *Service) announce(ctx context.Context) error {
	for wait := retryPause; ctx.Err() == nil; wait = min(2*wait, maxRetryPause) {
		if s.leaving.Load() || slices.Contains(s.View().Daemons, s.self) {
			return nil
		}
		err := s.sources.Daemons.Announce(ctx, s.self)
		if err == nil {
			return nil
		}
		s.log.WithError(err).Warn("daemon could not be announced; trying again")
		pause(ctx, s.jitter(wait))
	}
	return nil
}

// step takes the view from the first good source of the zone, or reads the store
// for itself.
func (s *Service) step(ctx context.Context) {
	order := s.order()
	at := slices.IndexFunc(order, func(d topo.Daemon) bool { return d.Name == s.self.Name })
	sources := sourcesOf(order, at)
	if s.turnedAway(time.Now()) {
		sources = append(sources, order[at+1:min(len(order), at+1+sourceTries)]...)
	}
	for _, daemon := range sources {
		if now := time.Now(); s.late(now, at) && !s.turnedAway(now) && s.View().Ready() {
			// Further sources may take longer than a leaving server allows.
			s.readOnce(ctx)
		}
		if s.usable(time.Now(), daemon) && s.follow(ctx, daemon) {
			return
		}
	}
	if s.turnedAway(time.Now()) && !s.View().Ready() && s.followSeeds(ctx) {
		return
	}
	now := time.Now()
	switch {
	case s.turnedAway(now) && now.Before(s.retryAt):
		pause(ctx, min(s.retryAt.Sub(now), retryPause))
	case at < sourceTries:
		s.read(ctx)
	case s.late(now, at):
		s.readOnce(ctx)
	default:
		pause(ctx, s.jitter(retryPause))
	}
}

// turnedAway reports whether the store failed this daemon a short while ago. An
// older failure says nothing, since a daemon that follows another does not call
// the store.
func (s *Service) turnedAway(now time.Time) bool {
	return s.storeOut && now.Sub(s.failedAt) < failureTime
}

// late reports whether the view is so old that the daemon at a rank reads for
// itself.
func (s *Service) late(now time.Time, at int) bool {
	return now.Sub(s.View().FreshAt) > s.settings.StaleAfter+rankPatience*time.Duration(min(at, maxPatientRank))
}

// followSeeds follows the first good seed, for a daemon that knows no other one.
func (s *Service) followSeeds(ctx context.Context) bool {
	for _, seed := range s.settings.Seeds {
		daemon := topo.Daemon{Name: seed.String(), Zone: s.self.Zone, Address: seed}
		if seed != s.self.Address && s.usable(time.Now(), daemon) && s.follow(ctx, daemon) {
			return true
		}
	}
	return false
}

// sourcesOf returns whom the daemon at a rank follows: its parent in a tree, and
// then the first of the zone.
func sourcesOf(order []topo.Daemon, at int) []topo.Daemon {
	if at <= sourceTries {
		return slices.Clone(order[:at])
	}
	return append([]topo.Daemon{order[(at-1)/fanOut]}, order[:sourceTries]...)
}

// usable reports whether a daemon can be followed.
func (s *Service) usable(now time.Time, daemon topo.Daemon) bool {
	return s.peers.Usable(daemon.Address) && !s.avoids(now, daemon.Name)
}

// avoids reports whether a daemon's view was old a short while ago.
func (s *Service) avoids(now time.Time, name string) bool {
	return now.Before(s.avoided[name])
}

// order returns the daemons of this zone by rank, this one included.
func (s *Service) order() []topo.Daemon {
	daemons := []topo.Daemon{s.self}
	for _, daemon := range s.View().Daemons {
		if daemon.Zone == s.self.Zone && daemon.Name != s.self.Name {
			daemons = append(daemons, daemon)
		}
	}
	return topo.RankDaemons(receiverName+"/"+s.self.Zone, daemons)
}

// followWait is how long a followed daemon holds a call; followTimeout bounds
// the call, whose loss the heartbeats notice earlier.
const (
	followWait    = 400 * time.Millisecond
	followTimeout = 900 * time.Millisecond
	// minFollow is the shortest time for a call, which is held for followWait
	// when nothing is newer.
	minFollow = followWait + 100*time.Millisecond
)

// follow makes one call to a daemon and reports whether it is a good source.
func (s *Service) follow(ctx context.Context, daemon topo.Daemon) bool {
	if s.followed.name != daemon.Name {
		s.setSource(daemon.Name)
	}
	call, cancel := context.WithTimeout(ctx, s.patience(time.Now()))
	defer cancel()
	request := s.followed.have
	request.Name = s.self.Name
	reply, err := wire.Call[FollowRequest, FollowReply](call, s.peers, daemon.Address, followMethod, request)
	now := time.Now()
	if err == nil && (!reply.Known || reply.Unfit || reply.Age > s.settings.StaleAfter) {
		err = errStale
	}
	if reply.Known && !reply.Unfit && !s.takeReply(now, reply) {
		pause(ctx, idlePause)
	}
	if err != nil {
		s.avoided[daemon.Name] = now.Add(avoidTime)
		s.log.WithField("source", daemon.Name).WithError(err).Debug("source is no good; looking for another one")
		return false
	}
	return true
}

// patience returns how long a call to a source may take: less as the view grows
// old, so that there is time for another one.
func (s *Service) patience(now time.Time) time.Duration {
	left := s.settings.StaleAfter + minFollow - now.Sub(s.View().FreshAt)
	return min(max(left, minFollow), followTimeout)
}

func (s *Service) setSource(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.followed = followedSource{name: name, have: FollowRequest{
		ServersSum: s.state.servers.Checksum(),
		DaemonsSum: s.state.daemons.Checksum(),
	}}
	if s.state.config != nil {
		s.followed.have.Config = s.state.config.Version
	}
	s.log.WithField("source", name).Info("source of the view changed")
}

// takeReply takes what another daemon gave. Servers and daemons are taken only
// from one whose view is newer, for an older one would bring back what is gone;
// takeReply reports whether it is.
func (s *Service) takeReply(now time.Time, reply FollowReply) bool {
	fresh := now.Add(-reply.Age)
	newer := fresh.After(s.View().FreshAt)
	s.apply(func(state *state) bool {
		changed := state.takeConfig(reply.Config)
		if !newer {
			return changed
		}
		changed = state.takeServers(fromWire(now, reply.Servers, state.servers, &s.lapses), reply.ServersComplete) || changed
		changed = state.takeDaemons(reply.Daemons, reply.DaemonsComplete) || changed
		state.freshAt, state.path = fresh, reply.Path
		return changed
	})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.followed.have = FollowRequest{
		ServersSum: s.state.servers.Checksum(),
		DaemonsSum: s.state.daemons.Checksum(),
	}
	if s.state.config != nil {
		s.followed.have.Config = s.state.config.Version
	}
	if newer {
		s.followed.have.Incarnation = reply.Incarnation
		s.followed.have.Servers, s.followed.have.Daemons = reply.ServersRev, reply.DaemonsRev
	}
	return newer
}

// jitter returns a wait of a half to one and a half of the given one.
func (s *Service) jitter(wait time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return wait/2 + time.Duration(s.random.Int64N(int64(wait)))
}

// pause waits, or returns when the context ends.
func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
