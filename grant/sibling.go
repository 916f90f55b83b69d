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

// runSiblingCalls sends queued messages to the brokers of sibling pools until the
// context ends.
func (s *Service) runSiblingCalls(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case call := <-s.siblingCalls:
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
		ranked := rankedBrokers(now, s.members, sibling.Zone, sibling.Key)
		if len(ranked) == 0 {
			continue
		}
		child, cancel := context.WithTimeout(ctx, siblingTimeout)
		call.send(child, ranked[0], sibling.Key)
		cancel()
	}
}

func (s *Service) sendHint(key string, hint broker.Hint) {
	s.enqueueSiblingCall(siblingCall{key: key, send: func(ctx context.Context, peer member.Daemon, siblingKey string) {
		request := HintRequest{Pool: siblingKey, Hint: hint}
		if peer.Name == s.members.Self().Name {
			s.applyHint(request)
			return
		}
		_, _ = wire.Call[HintRequest, Empty](ctx, s.peers, peer.Address, hintMethod, request)
	}})
}

func (s *Service) sendFingerprint(key string, report broker.FingerprintReported) {
	s.enqueueSiblingCall(siblingCall{key: key, send: func(ctx context.Context, peer member.Daemon, siblingKey string) {
		request := LearnRequest{Pool: siblingKey, Fingerprint: report.Fingerprint, Standing: report.Standing}
		if peer.Name == s.members.Self().Name {
			s.applyFingerprint(request)
			return
		}
		_, _ = wire.Call[LearnRequest, Empty](ctx, s.peers, peer.Address, learnMethod, request)
	}})
}

// enqueueSiblingCall queues a message to sibling pools. It drops the message if the
// queue is full: the next hint follows soon, and a fingerprint is reported again at
// its next crash.
func (s *Service) enqueueSiblingCall(call siblingCall) {
	select {
	case s.siblingCalls <- call:
	default:
	}
}

func (s *Service) applyHint(request HintRequest) {
	if r, known := s.findRunner(request.Pool); known {
		r.update(func(pool *broker.Pool) []broker.Action {
			pool.SetSiblingHint(time.Now(), request.Hint)
			return nil
		})
	}
}

func (s *Service) applyFingerprint(request LearnRequest) {
	now := time.Now()
	if r, declared := s.ensureRunner(now, request.Pool); declared {
		r.update(func(pool *broker.Pool) []broker.Action {
			pool.LearnFingerprint(now, request.Fingerprint, request.Standing)
			return nil
		})
	}
}

// rankedBrokers returns the daemons that may broker a pool, highest rank first.
func rankedBrokers(now time.Time, members *member.Service, zone, key string) []member.Daemon {
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

// maxBrokers limits the number of daemons that are tried in turn for one pool.
const maxBrokers = 3

func sortPools(pools []broker.PoolState) {
	slices.SortFunc(pools, func(a, b broker.PoolState) int { return strings.Compare(a.Key, b.Key) })
}

func sortViews(views []ViewState) {
	slices.SortFunc(views, func(a, b ViewState) int { return strings.Compare(a.Pool, b.Pool) })
}
