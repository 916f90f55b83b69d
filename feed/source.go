package feed

import (
	"context"
	"time"

	"dandeliondoor/kernel"
	"dandeliondoor/rank"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

// The times of the feed that follow from no bound of the platform.
const (
	// settleTime lets all daemons announce themselves at the first start.
	settleTime = 600 * time.Millisecond
	// retryPause and maxRetryPause bound the wait after a failed call.
	retryPause    = 200 * time.Millisecond
	maxRetryPause = 1200 * time.Millisecond
	// sourceTries is how many daemons of the zone are tried before a daemon
	// that ranks behind them reads for itself.
	sourceTries = 4
	// lateReader is the age from which any daemon reads for itself.
	lateReader = 3 * time.Second
	// avoidTime is how long a daemon is not followed whose view was old.
	avoidTime = 2 * time.Second
)

// run announces the daemon and then follows or reads until the context ends.
func (s *Service) run(ctx context.Context) error {
	announced := kernel.Run(ctx, s.announce)
	if s.settings.First {
		pause(ctx, settleTime)
	}
	for ctx.Err() == nil {
		s.step(ctx)
	}
	return <-announced
}

// announce stores this daemon's record, again and again until it is there.
func (s *Service) announce(ctx context.Context) error {
	for wait := retryPause; ctx.Err() == nil; wait = min(2*wait, maxRetryPause) {
		if s.leaving.Load() {
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

// step takes the view from the first source of the zone that is fresh.
func (s *Service) step(ctx context.Context) {
	tried := 0
	for _, daemon := range s.order() {
		if daemon.Name == s.self.Name {
			s.read(ctx)
			return
		}
		if tried == sourceTries || !s.peers.Usable(daemon.Address) {
			continue
		}
		tried++
		if !s.avoids(time.Now(), daemon.Name) && s.follow(ctx, daemon) {
			return
		}
	}
	if age := time.Since(s.View().FreshAt); tried == 0 || age > lateReader {
		s.read(ctx)
		return
	}
	pause(ctx, s.jitter(retryPause))
}

// avoids reports whether a daemon's view was old a short while ago.
func (s *Service) avoids(now time.Time, name string) bool {
	return now.Before(s.avoided[name])
}

// order returns the daemons of this zone by rank, this one included.
func (s *Service) order() []topo.Daemon {
	byName := map[string]topo.Daemon{s.self.Name: s.self}
	names := []string{s.self.Name}
	for _, daemon := range s.View().Daemons {
		if daemon.Zone == s.self.Zone && daemon.Name != s.self.Name {
			names = append(names, daemon.Name)
			byName[daemon.Name] = daemon
		}
	}
	ordered := make([]topo.Daemon, 0, len(names))
	for _, name := range rank.Order(receiverName+"/"+s.self.Zone, names) {
		ordered = append(ordered, byName[name])
	}
	return ordered
}

// followWait is how long a followed daemon holds a call; followTimeout bounds
// the call, whose loss the heartbeats notice earlier.
const (
	followWait    = 400 * time.Millisecond
	followTimeout = 900 * time.Millisecond
)

// follow makes one call to a daemon and reports whether it is a good source.
func (s *Service) follow(ctx context.Context, daemon topo.Daemon) bool {
	if s.followed.name != daemon.Name {
		s.setSource(daemon.Name)
	}
	call, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	reply, err := wire.Call[FollowRequest, FollowReply](call, s.peers, daemon.Address, followMethod, s.followed.have)
	now := time.Now()
	if err == nil && (!reply.Known || reply.Leaving || reply.Age > s.settings.StaleAfter) {
		err = errStale
	}
	if reply.Known {
		s.takeReply(now, reply)
	}
	if err != nil {
		s.avoided[daemon.Name] = now.Add(avoidTime)
		s.log.WithField("source", daemon.Name).WithError(err).Debug("source is no good; looking for another one")
		return false
	}
	return true
}

func (s *Service) setSource(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.followed = followedSource{name: name}
	s.log.WithField("source", name).Info("source of the view changed")
}

// takeReply takes what another daemon gave. Servers and daemons are taken only
// from one whose view is newer, for an older one would bring back what is gone.
func (s *Service) takeReply(now time.Time, reply FollowReply) {
	fresh := now.Add(-reply.Age)
	newer := fresh.After(s.View().FreshAt)
	s.apply(func(state *state) bool {
		changed := state.takeConfig(reply.Config)
		if !newer {
			return changed
		}
		changed = state.takeServers(fromWire(now, reply.Servers), reply.ServersComplete) || changed
		changed = state.takeDaemons(reply.Daemons, reply.DaemonsComplete) || changed
		state.freshAt = fresh
		return changed
	})
	if !newer {
		return
	}
	s.followed.have = FollowRequest{
		Incarnation: reply.Incarnation,
		Servers:     reply.ServersRev,
		Daemons:     reply.DaemonsRev,
	}
	if table := s.View().Table; table != nil {
		s.followed.have.Config = table.Config.Version
	}
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
