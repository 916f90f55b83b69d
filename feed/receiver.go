package feed

import (
	"context"
	"slices"
	"time"

	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

// receiver serves the RPCs of daemons that follow this one.
type receiver struct {
	service *Service
	session *wire.Session
}

// Receivers returns the RPC receivers for one session with another daemon.
func (s *Service) Receivers(session *wire.Session) []wire.Receiver {
	return []wire.Receiver{{Name: receiverName, Methods: &receiver{service: s, session: session}}}
}

// Follow returns the data that is newer than the follower's, or its confirmation by
// the store. If there is neither, it waits for one, and so it does without a view if
// the follower has none either.
func (r *receiver) Follow(request FollowRequest, reply *FollowReply) error {
	s := r.service
	s.recordGone(time.Now(), request.Gone)
	s.acceptConfig(request.Name, request.Newer)
	s.remember(time.Now(), request.Remembers)
	hold := s.followHold()
	if !s.View().Ready() {
		hold = startHold
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for {
		changed := s.changeSignal()
		if s.buildReply(time.Now(), request, reply) {
			return nil
		}
		select {
		case <-changed:
		case <-r.session.Ended():
			return nil
		case <-timer.C:
			view := s.View()
			reply.Age, reply.ConfigAge = time.Since(view.FreshAt), time.Since(view.ConfigFreshAt)
			return nil
		}
	}
}

// Join returns the sources of a daemon. It waits for the list of daemons for a while.
func (r *receiver) Join(request JoinRequest, reply *JoinReply) error {
	s := r.service
	for end := time.Now().Add(joinHold); len(s.View().Daemons) == 0 && time.Now().Before(end); {
		time.Sleep(idlePause)
	}
	if daemons := s.View().Daemons; len(daemons) > 0 && !s.draining.Load() {
		reply.Sources = newZoneRanking(request.Daemon, daemons).sources(request.Daemon)
	}
	return nil
}

// Unreached returns which of some daemons this one does not reach either.
func (r *receiver) Unreached(request UnreachedRequest, reply *UnreachedReply) error {
	for _, daemon := range request.Daemons[:min(len(request.Daemons), maxDoubted)] {
		if daemon != r.service.self && r.service.ping(context.Background(), daemon) != nil {
			reply.Daemons = append(reply.Daemons, daemon)
		}
	}
	return nil
}

const (
	// joinHold is how long a seed waits for the list of the daemons before it replies.
	joinHold = 200 * time.Millisecond
	// startHold is how long a daemon without a view holds a call of a follower.
	startHold = 250 * time.Millisecond
)

// changeSignal returns a channel that is closed at the next change.
func (s *Service) changeSignal() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// buildReply fills a reply and reports whether it has to be sent immediately.
func (s *Service) buildReply(now time.Time, request FollowRequest, reply *FollowReply) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state := s.state
	*reply = FollowReply{
		Incarnation: s.incarnation,
		Unfit:       s.draining.Load() || slices.Contains(state.path, request.Name),
		Path:        append(slices.Clone(state.path), s.self.Name),
		Known:       state.config != nil && state.serversKnown,
		Age:         now.Sub(state.freshAt),
		ConfigAge:   now.Sub(state.configAt),
		Confirmed:   s.confirmed,
		ServersRev:  state.servers.Rev(),
		DaemonsRev:  state.daemons.Rev(),
		CrashesRev:  state.crashes.Rev(),
		ServersEra:  state.serverHold.era,
		DaemonsEra:  state.daemonHold.era,
		CrashesEra:  state.crashHold.era,

		DaemonsKnown: state.daemonHold.known,
		CrashesKnown: state.crashHold.known,
		Remembers:    now.Sub(state.rememberedSince),
		Parts:        state.parts,
	}
	switch {
	case reply.Unfit:
		return true
	case !reply.Known:
		// A follower with a view should try another source at once.
		return request.Config > 0
	}
	confirmed := request.Incarnation != s.incarnation || request.Confirmed != s.confirmed
	request.Servers = baseRev(s.incarnation, request.Incarnation, state.servers, request.Servers, request.ServersSum)
	request.Daemons = baseRev(s.incarnation, request.Incarnation, state.daemons, request.Daemons, request.DaemonsSum)
	request.Crashes = baseRev(s.incarnation, request.Incarnation, state.crashes, request.Crashes, request.CrashesSum)
	if state.config.Version > request.Config {
		reply.Config = state.config
	}
	servers, complete := state.servers.Since(request.Servers)
	reply.Servers, reply.ServersComplete = toWire(now, servers, s.removals.held, state.serverHold), complete
	reply.Daemons, reply.DaemonsComplete = state.daemons.Since(request.Daemons)
	reply.Crashes, reply.CrashesComplete = state.crashes.Since(request.Crashes)
	state.daemonHold.markAccepted(reply.Daemons)
	state.crashHold.markAccepted(reply.Crashes)
	s.pack(now, reply)
	reply.WantsConfig = s.wantsConfig(now, request.Config)
	return confirmed || reply.WantsConfig || reply.Config != nil || complete || len(servers) > 0 ||
		reply.DaemonsComplete || len(reply.Daemons) > 0 || reply.CrashesComplete || len(reply.Crashes) > 0 || reply.Age > s.settings.StaleAfter
}

// unknownRev is higher than any revision, which makes VersionedTable.Since
// return the whole table.
const unknownRev = ^uint64(0)

// unknownSum is the checksum that a follower sends for whole tables.
const unknownSum = ^uint64(0)

// baseRev returns the revision after which a follower needs the changes of a
// table: the latest one if the checksums match, the follower's own if it came
// from this incarnation, and otherwise unknownRev.
func baseRev[V any](incarnation, requested uint64, table *topo.VersionedTable[V], rev, checksum uint64) uint64 {
	switch {
	case checksum == table.Checksum():
		return table.Rev()
	case incarnation == requested:
		return rev
	default:
		return unknownRev
	}
}
