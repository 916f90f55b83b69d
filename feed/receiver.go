package feed

import (
	"slices"
	"time"

	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

// receiver answers the daemons that follow this one.
type receiver struct {
	service *Service
	session *wire.Session
}

// Receivers returns the calls that other daemons may make.
func (s *Service) Receivers(session *wire.Session) []wire.Receiver {
	return []wire.Receiver{{Name: receiverName, Methods: &receiver{service: s, session: session}}}
}

// Follow waits until something is newer than what the follower has, or for a
// short while.
func (r *receiver) Follow(request FollowRequest, reply *FollowReply) error {
	s := r.service
	timer := time.NewTimer(followWait)
	defer timer.Stop()
	for {
		changed := s.changes()
		if s.answer(time.Now(), request, reply) {
			return nil
		}
		select {
		case <-changed:
		case <-r.session.Ended():
			return nil
		case <-timer.C:
			reply.Age = time.Since(s.View().FreshAt)
			return nil
		}
	}
}

func (s *Service) changes() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// answer fills a reply and reports whether it has to go out at once.
func (s *Service) answer(now time.Time, request FollowRequest, reply *FollowReply) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state := s.state
	*reply = FollowReply{
		Incarnation: s.incarnation,
		Unfit:       s.leaving.Load() || slices.Contains(state.path, request.Name),
		Path:        append(slices.Clone(state.path), s.self.Name),
		Known:       state.config != nil && state.serversKnown,
		Age:         now.Sub(state.freshAt),
		ServersRev:  state.servers.Rev(),
		DaemonsRev:  state.daemons.Rev(),
	}
	if !reply.Known || reply.Unfit {
		return true
	}
	request.Servers = knownRev(s.incarnation, request.Incarnation, state.servers, request.Servers, request.ServersSum)
	request.Daemons = knownRev(s.incarnation, request.Incarnation, state.daemons, request.Daemons, request.DaemonsSum)
	if state.config.Version > request.Config {
		reply.Config = state.config
	}
	servers, complete := state.servers.Since(request.Servers)
	reply.Servers, reply.ServersComplete = toWire(now, servers, s.lapses.removed), complete
	reply.Daemons, reply.DaemonsComplete = state.daemons.Since(request.Daemons)
	return reply.Config != nil || complete || len(servers) > 0 ||
		reply.DaemonsComplete || len(reply.Daemons) > 0 || reply.Age > s.settings.StaleAfter
}

// unknownRev is higher than any revision, so that the whole table is sent.
const unknownRev = ^uint64(0)

// knownRev returns the revision up to which a follower has a table: the one that
// it got from here, the newest if it holds the same, and else none.
func knownRev[V any](incarnation, followed uint64, table *topo.VersionedTable[V], rev, sum uint64) uint64 {
	switch {
	case sum == table.Checksum():
		return table.Rev()
	case incarnation == followed:
		return rev
	default:
		return unknownRev
	}
}
