package grant

import (
	"context"
	"time"

	"dandeliondoor/broker"
	"dandeliondoor/member"
	"dandeliondoor/wire"
)

// handTimeout bounds the handing over of one pool.
const handTimeout = 300 * time.Millisecond

// successor returns the daemon that brokers a pool once this one has left.
func (s *Service) successor(now time.Time, key string) (member.Daemon, bool) {
	owner, declared := s.tables.Table().Pool(key)
	if !declared {
		return member.Daemon{}, false
	}
	for _, daemon := range brokersOf(now, s.members, owner.Pool.Zone, key) {
		if daemon.Name != s.members.Self().Name {
			return daemon, true
		}
	}
	return member.Daemon{}, false
}

// hand tells the next broker which slots of a pool are in use, so that it does
// not grant them before their entries ask it.
func (s *Service) hand(ctx context.Context, key string, holds []broker.Hold) {
	next, found := s.successor(time.Now(), key)
	if !found || len(holds) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handTimeout)
	defer cancel()
	request := HandRequest{Pool: key, Holds: holds}
	if _, err := wire.Call[HandRequest, Empty](ctx, s.peers, next.Address, handMethod, request); err != nil {
		s.log.WithField("pool", key).WithError(err).Warn("cannot hand a pool over; the next broker learns from the entries")
	}
}

// takeHand counts the grants that the last broker of a pool handed over.
func (s *Service) takeHand(now time.Time, request HandRequest) {
	r, declared := s.runnerFor(now, request.Pool)
	if !declared {
		return
	}
	r.do(func(pool *broker.Pool) []broker.Action {
		for _, hold := range request.Holds {
			hold.Session = 0
			pool.TakeHold(now, hold)
		}
		return nil
	})
}

// passOn sends a release on to the next broker while this one is leaving.
func (s *Service) passOn(request ReleaseRequest) {
	s.mutex.Lock()
	draining := s.draining
	s.mutex.Unlock()
	if !draining {
		return
	}
	if next, found := s.successor(time.Now(), request.Pool); found {
		wire.Post[ReleaseRequest, Empty](s.peers, next.Address, releaseMethod, request)
	}
}
