package feed

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/kernel"
	"dandeliondoor/topo"
)

const (
	// daemonsWait is how long the store may hold a call for the daemons, whose
	// list changes rarely.
	daemonsWait = 10 * time.Second
	// configParts is for how many intervals between reads the store may hold a
	// call for the configuration. That is short, for a call that is held while a
	// record is stored may not see it.
	configParts = 2
	// lateRetry is the wait after a failed read of a daemon that others read
	// for.
	lateRetry = 1500 * time.Millisecond
)

// read reads the store for as long as this daemon is the first usable source of
// its zone and the store answers.
func (s *Service) read(ctx context.Context) {
	if s.followed.name != s.self.Name {
		s.setSource(s.self.Name)
	}
	// What other daemons gave meanwhile may differ from what was read last.
	s.sources.Servers.Relist()
	if !s.readServers(ctx) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	configs := kernel.Run(ctx, func(ctx context.Context) error {
		return watch(ctx, s, s.sources.Configs, configParts*s.settings.Interval, s.takeConfigs)
	})
	daemons := kernel.Run(ctx, func(ctx context.Context) error {
		return watch(ctx, s, s.sources.Daemons, daemonsWait, s.takeDaemons)
	})
	for ctx.Err() == nil && s.first(time.Now()) {
		pause(ctx, s.settings.Interval)
		// A call that the store still holds after an outage may never be
		// answered, so each failure begins anew.
		if !s.readServers(ctx) {
			break
		}
	}
	cancel()
	if err := errors.Join(<-configs, <-daemons); err != nil {
		s.log.WithError(err).Warn("long polls ended")
	}
}

// first reports whether no other daemon of the zone is to be followed.
func (s *Service) first(now time.Time) bool {
	for i, daemon := range s.order() {
		if daemon.Name == s.self.Name || i == sourceTries {
			return true
		}
		if s.usable(now, daemon) {
			return false
		}
	}
	return true
}

// readOnce reads servers and configuration once, for a daemon whose sources are
// all old or lost.
func (s *Service) readOnce(ctx context.Context) {
	if s.followed.name != s.self.Name {
		s.setSource(s.self.Name)
	}
	s.sources.Servers.Relist()
	if !s.readServers(ctx) {
		s.retryAt = time.Now().Add(lateRetry)
		return
	}
	changes, complete, err := s.sources.Configs.Poll(ctx, 0)
	if err != nil {
		s.log.WithError(err).Warn("configuration could not be read")
		return
	}
	s.takeConfigs(changes, complete)
}

// readServers reads the servers once and reports whether the store answered.
func (s *Service) readServers(ctx context.Context) bool {
	asked := time.Now()
	changes, complete, err := s.sources.Servers.Poll(ctx, 0)
	now := time.Now()
	if err != nil && ctx.Err() != nil {
		return false
	}
	if err != nil {
		if !s.storeOut {
			s.log.WithError(err).WithField("age", now.Sub(s.View().FreshAt).String()).Warn("store lost; the known servers stay in use")
			s.storeOut = true
			s.retryWait = retryPause
		}
		s.failedAt = now
		s.retryAt = now.Add(s.jitter(s.retryWait))
		s.retryWait = min(2*s.retryWait, maxRetryPause)
		return false
	}
	known := s.View().FreshAt
	if s.storeOut {
		s.log.WithField("age", now.Sub(known).String()).Info("store regained")
		s.storeOut = false
	}
	s.apply(func(state *state) bool {
		// A failure before the view was confirmed, by whichever daemon, says
		// nothing of the time since.
		outSince := s.failedAt.After(known)
		if outSince && !known.IsZero() && now.Sub(known) > s.settings.StaleAfter {
			s.lapses.returned(now)
		}
		state.freshAt, state.path = asked, nil
		held, whole := s.lapses.hold(now, state.servers, changes, complete)
		state.serversKnown = state.serversKnown || complete
		return state.takeServers(held, whole) || complete
	})
	return true
}

func (s *Service) takeConfigs(changes []topo.Change[*topo.Config], _ bool) {
	s.apply(func(state *state) bool {
		changed := false
		for _, change := range changes {
			changed = state.takeConfig(change.Value) || changed
		}
		return changed
	})
}

func (s *Service) takeDaemons(changes []topo.Change[topo.Daemon], complete bool) {
	s.apply(func(state *state) bool { return state.takeDaemons(changes, complete) })
}

// watch long-polls one part of the store until the context ends.
func watch[V any](
	ctx context.Context, s *Service, poller Poller[V], hold time.Duration, take func(changes []topo.Change[V], complete bool),
) error {
	wait := retryPause
	for ctx.Err() == nil {
		changes, complete, err := poller.Poll(ctx, hold)
		if err != nil {
			s.log.WithError(err).Debug("long poll failed; trying again")
			pause(ctx, s.jitter(wait))
			wait = min(2*wait, maxRetryPause)
			continue
		}
		wait = retryPause
		take(changes, complete)
	}
	return nil
}
