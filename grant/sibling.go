package grant

import (
	"context"
	"slices"
	"strings"
	"time"

	"dandeliondoor/broker"
	"dandeliondoor/member"
	"dandeliondoor/rank"
	"dandeliondoor/wire"
)

// talk sends what brokers of sibling pools should know. Messages that find no
// room are dropped, for the next hint is soon to come.
func (s *Service) talk(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case call := <-s.siblings:
			s.callSiblings(ctx, call)
		}
	}
}

func (s *Service) callSiblings(ctx context.Context, call siblingCall) {
	owner, declared := s.tables.Table().Pool(call.key)
	if !declared {
		return
	}
	now := time.Now()
	for _, sibling := range owner.Service.Pools {
		if sibling.Key == call.key {
			continue
		}
		ranked := brokersOf(now, s.members, sibling.Zone, sibling.Key)
		if len(ranked) == 0 {
			continue
		}
		child, cancel := context.WithTimeout(ctx, siblingTimeout)
		call.send(child, ranked[0], sibling.Key)
		cancel()
	}
}

func (s *Service) sendHint(key string, hint broker.Hint) {
	s.enqueue(siblingCall{key: key, send: func(ctx context.Context, peer member.Daemon, sibling string) {
		request := HintRequest{Pool: sibling, Hint: hint}
		if peer.Name == s.members.Self().Name {
			s.takeHint(request)
			return
		}
		_, _ = wire.Call[HintRequest, Empty](ctx, s.peers, peer.Address, hintMethod, request)
	}})
}

func (s *Service) sendShared(key string, shared broker.Shared) {
	s.enqueue(siblingCall{key: key, send: func(ctx context.Context, peer member.Daemon, sibling string) {
		request := LearnRequest{Pool: sibling, Fingerprint: shared.Fingerprint, Standing: shared.Standing}
		if peer.Name == s.members.Self().Name {
			s.learn(request)
			return
		}
		_, _ = wire.Call[LearnRequest, Empty](ctx, s.peers, peer.Address, learnMethod, request)
	}})
}

func (s *Service) enqueue(call siblingCall) {
	select {
	case s.siblings <- call:
	default:
	}
}

func (s *Service) takeHint(request HintRequest) {
	if r, known := s.find(request.Pool); known {
		r.do(func(pool *broker.Pool) []broker.Action {
			pool.TakeHint(time.Now(), request.Hint)
			return nil
		})
	}
}

func (s *Service) learn(request LearnRequest) {
	now := time.Now()
	if r, declared := s.runnerFor(now, request.Pool); declared {
		r.do(func(pool *broker.Pool) []broker.Action {
			pool.LearnFingerprint(now, request.Fingerprint, request.Standing)
			return nil
		})
	}
}

// brokersOf returns the daemons that may broker a pool, by falling rank.
func brokersOf(now time.Time, members *member.Service, zone, key string) []member.Daemon {
	daemons := members.Daemons(now, zone)
	names := make([]string, len(daemons))
	for i, daemon := range daemons {
		names[i] = daemon.Name
	}
	ranked := make([]member.Daemon, 0, len(daemons))
	for _, name := range rank.Top(key, names, min(len(names), maxBrokers)) {
		at := slices.IndexFunc(daemons, func(d member.Daemon) bool { return d.Name == name })
		ranked = append(ranked, daemons[at])
	}
	return ranked
}

// maxBrokers bounds the daemons that are asked for a pool one after another.
const maxBrokers = 3

func sortPools(pools []broker.PoolState) {
	slices.SortFunc(pools, func(a, b broker.PoolState) int { return strings.Compare(a.Key, b.Key) })
}

func sortViews(views []ViewState) {
	slices.SortFunc(views, func(a, b ViewState) int { return strings.Compare(a.Pool, b.Pool) })
}
