package grant

import (
	"context"
	"time"

	"dandeliondoor/broker"
	"dandeliondoor/member"
	"dandeliondoor/wire"
)

// handoverTimeout limits the time to hand over one pool.
const handoverTimeout = 300 * time.Millisecond

// successor returns the daemon that brokers a pool after this one leaves.
func (s *Service) successor(now time.Time, key string) (member.Daemon, bool) {
	owner, declared := s.tables.Table().Pool(key)
	if !declared {
		return member.Daemon{}, false
	}
	for _, daemon := range rankedBrokers(now, s.members, owner.Pool.Zone, key) {
		if daemon.Name != s.members.Self().Name {
			return daemon, true
		}
	}
	return member.Daemon{}, false
}

// sendHandover tells the next broker of a pool which slots are in use. Without it,
// the next broker could grant those slots again before their entries report them.
func (s *Service) sendHandover(ctx context.Context, key string, holds []broker.Hold) {
	next, found := s.successor(time.Now(), key)
	if !found || len(holds) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	request := HandRequest{Pool: key, Holds: holds}
	if _, err := wire.Call[HandRequest, Empty](ctx, s.peers, next.Address, handMethod, request); err != nil {
		s.log.WithField("pool", key).WithError(err).
			Warn("failed to hand over pool; the next broker learns the grants in use from the entries")
	}
}

// receiveHandover adds the grants handed over by the previous broker of a pool. They
// belong to no connection until their entries report them.
func (s *Service) receiveHandover(now time.Time, request HandRequest) {
	r, declared := s.ensureRunner(now, request.Pool)
	if !declared {
		return
	}
	r.update(func(pool *broker.Pool) []broker.Action {
		for _, hold := range request.Holds {
			hold.Session = 0
			pool.RegisterHold(now, hold)
		}
		return nil
	})
}

// forwardRelease forwards a release to the next broker while this daemon drains,
// because that broker counts the handed-over grant as well.
func (s *Service) forwardRelease(request ReleaseRequest) {
	s.mutex.Lock()
	draining := s.draining
	s.mutex.Unlock()
	if !draining {
		return
	}
	if next, found := s.successor(time.Now(), request.Pool); found {
		wire.Notify[ReleaseRequest, Empty](s.peers, next.Address, releaseMethod, request)
	}
}
