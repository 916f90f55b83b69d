package feed

import (
	"cmp"
	"context"
	"slices"
	"time"

	"dandeliondoor/rank"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

// Times and limits of the search for daemons that are gone.
const (
	// goneAfter is how long a daemon has to be out of reach before its record is removed.
	// It exceeds the usual stops, cuts and suspensions, after which a daemon would have to
	// register again.
	goneAfter = 15 * time.Second
	// watchDivisor is the divisor of the patience that gives the mean time between two
	// checks.
	watchDivisor = 5
	// patienceFactor and maxPatience bound the growth of the patience with a daemon that
	// has registered again although it was out of reach.
	patienceFactor = 2
	maxPatience    = 10 * time.Minute
	// maxWatched bounds the daemons of one check, maxDoubted those that another daemon is
	// asked about, and maxGone those that are reported to a source.
	maxWatched = 64
	maxDoubted = 8
	maxGone    = 64
	// pingTimeout bounds the wait for a daemon, which includes a dial, and doubtTimeout
	// that for another daemon's check of maxDoubted.
	pingTimeout  = 500 * time.Millisecond
	doubtTimeout = (maxDoubted + 1) * pingTimeout
	// removalInterval is the time between two removals by a reader.
	removalInterval = time.Second
	// reportChecks is how many checks a report that a daemon is gone counts for. One that
	// still is gets reported again at the next check.
	reportChecks = 3
)

// watchKey ranks the daemons in the order in which each watches the next one. It differs
// from the other rankings, so that those who watch each other are in different zones.
const watchKey = "Watch"

// watch decides which daemons have been out of reach for too long.
type watch struct {
	patience time.Duration
	suspects map[string]suspect
}

// suspect is a daemon that was out of reach at each check from since on. Absent is set while
// it is not listed.
type suspect struct {
	since    time.Time
	patience time.Duration
	absent   bool
}

func newWatch(patience time.Duration) *watch {
	return &watch{patience: patience, suspects: make(map[string]suspect)}
}

// reached records that a daemon is in reach.
func (w *watch) reached(name string) { delete(w.suspects, name) }

// missed records that a daemon is listed and out of reach, and reports whether it has been
// for too long. One that was removed and has registered again is given more time.
func (w *watch) missed(now time.Time, name string) bool {
	known, found := w.suspects[name]
	switch {
	case !found:
		known = suspect{since: now, patience: w.patience}
	case known.absent:
		known = suspect{since: now, patience: min(patienceFactor*known.patience, maxPatience)}
	}
	w.suspects[name] = known
	return now.Sub(known.since) >= known.patience
}

// relist marks the suspects that are not listed, and forgets those that have been absent
// for long.
func (w *watch) relist(now time.Time, listed map[string]struct{}) {
	for name, known := range w.suspects {
		if _, found := listed[name]; found {
			continue
		}
		if now.Sub(known.since) > patienceFactor*maxPatience {
			delete(w.suspects, name)
			continue
		}
		known.absent = true
		w.suspects[name] = known
	}
}

// watchDaemons checks the daemons after this one in the order of watching until the context
// ends, and reports those that are gone to the source.
func (s *Service) watchDaemons(ctx context.Context) error {
	w := newWatch(s.patience())
	for ctx.Err() == nil {
		pause(ctx, s.jitter(s.watchInterval()))
		if !s.draining.Load() {
			s.checkNext(ctx, w)
		}
	}
	return nil
}

// patience returns how long a daemon has to be out of reach before its record is removed.
func (s *Service) patience() time.Duration { return cmp.Or(s.settings.GoneAfter, goneAfter) }

// watchInterval returns the mean time between two checks.
func (s *Service) watchInterval() time.Duration { return s.patience() / watchDivisor }

// checkNext checks the next daemons up to the first one in reach. That has to confirm that
// the others are out of reach, since this daemon may be the one that is cut off.
func (s *Service) checkNext(ctx context.Context, w *watch) {
	daemons := s.View().Daemons
	listed := make(map[string]struct{}, len(daemons))
	for _, daemon := range daemons {
		listed[daemon.Name] = struct{}{}
	}
	w.relist(time.Now(), listed)
	var doubted []topo.Daemon
	for _, daemon := range s.watched(daemons) {
		err := s.ping(ctx, daemon)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			w.reached(daemon.Name)
			s.confirmGone(ctx, daemon, doubted)
			return
		case w.missed(time.Now(), daemon.Name) && len(doubted) < maxDoubted:
			doubted = append(doubted, daemon)
		}
	}
}

// watched returns the daemons after this one in the order of watching, at most maxWatched.
// There are none if this one isn't listed.
func (s *Service) watched(daemons []topo.Daemon) []topo.Daemon {
	type place struct {
		daemon topo.Daemon
		score  uint64
	}
	own := rank.Score(watchKey, s.self.Name)
	var after []place
	listed := false
	for _, daemon := range daemons {
		if daemon.Name == s.self.Name {
			listed = true
			continue
		}
		// The difference wraps around, so that the last daemon watches the first one.
		after = append(after, place{daemon: daemon, score: rank.Score(watchKey, daemon.Name) - own})
	}
	if !listed {
		return nil
	}
	slices.SortFunc(after, func(a, b place) int { return cmp.Compare(a.score, b.score) })
	next := make([]topo.Daemon, 0, min(len(after), maxWatched))
	for _, p := range after[:min(len(after), maxWatched)] {
		next = append(next, p.daemon)
	}
	return next
}

func (s *Service) ping(ctx context.Context, daemon topo.Daemon) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return wire.Ping(ctx, s.peers, daemon.Address)
}

// confirmGone asks a daemon in reach which of some others it does not reach either, and
// reports these as gone.
func (s *Service) confirmGone(ctx context.Context, witness topo.Daemon, doubted []topo.Daemon) {
	if len(doubted) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, doubtTimeout)
	defer cancel()
	reply, err := wire.Call[UnreachedRequest, UnreachedReply](
		ctx, s.peers, witness.Address, unreachedMethod, UnreachedRequest{Daemons: doubted},
	)
	if err != nil {
		s.log.WithField("daemon", witness.Name).WithError(err).Debug("asking about lost daemons failed")
		return
	}
	gone := make([]GoneDaemon, 0, len(reply.Daemons))
	for _, daemon := range reply.Daemons {
		gone = append(gone, GoneDaemon{Daemon: daemon})
	}
	s.recordGone(time.Now(), gone)
}

// recordGone records daemons that this daemon or a follower has found to be gone.
func (s *Service) recordGone(now time.Time, gone []GoneDaemon) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, g := range gone {
		if at := now.Add(-g.Age); at.After(s.gone[g.Daemon]) {
			s.gone[g.Daemon] = at
		}
	}
}

// goneDaemons returns the daemons that were found to be gone lately and are still listed,
// and forgets the others.
func (s *Service) goneDaemons(now time.Time) []GoneDaemon {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var gone []GoneDaemon
	for daemon, at := range s.gone {
		listed, found := s.state.daemons.Get(daemon.Name)
		if age := now.Sub(at); !found || listed != daemon || age > reportChecks*s.watchInterval() {
			delete(s.gone, daemon)
		} else if len(gone) < maxGone {
			gone = append(gone, GoneDaemon{Daemon: daemon, Age: age})
		}
	}
	return gone
}

// endedDaemons returns the daemons whose records had been removed, are in the store again
// since it was restored from a copy, and were not written again for as long as a lost daemon
// is listed.
func (s *Service) endedDaemons(now time.Time) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.daemonHold.DoubtedSince(now.Add(-s.patience()))
}

// removeGone removes the records of daemons that are gone until the context ends. Only the
// daemon that reads the store does so, in one call for all.
func (s *Service) removeGone(ctx context.Context) error {
	for ctx.Err() == nil {
		// While the first daemon by rank doesn't reach the store, others read it for times
		// shorter than removalInterval.
		pause(ctx, max(time.Until(s.removalAt), s.settings.Interval))
		// The position is older than the list, so that a record that is newer than the
		// list makes the store reject the removal.
		position := s.listedAt.Load()
		names := s.endedDaemons(time.Now())
		for _, g := range s.goneDaemons(time.Now()) {
			names = append(names, g.Daemon.Name)
		}
		if position == nil || len(names) == 0 || ctx.Err() != nil {
			continue
		}
		slices.Sort(names)
		s.removalAt = time.Now().Add(removalInterval)
		entry := s.log.WithField("daemons", names)
		if err := s.sources.Daemons.Remove(ctx, names, *position); err != nil {
			entry.WithError(err).Info("removing the records of daemons that are gone failed; retrying")
			continue
		}
		entry.Warn("removed the records of daemons that are gone")
	}
	return nil
}
