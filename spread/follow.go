package spread

import (
	"context"
	"net/netip"
	"time"

	"dandeliondoor/fold"
	"dandeliondoor/wire"
)

// The calls that followers make.
const (
	receiverName = "Config"
	followMethod = "Config.Follow"
	fetchMethod  = "Config.Fetch"
)

// The times and sizes of following.
const (
	followWait  = 1500 * time.Millisecond
	followLimit = followWait + time.Second
	fetchBatch  = 64
)

// FollowRequest asks for what changed since the last reply of the same daemon.
// With Wait above 0 the reply comes with the first change, or after Wait.
type FollowRequest struct {
	Epoch  uint64
	Seq    uint64
	Digest uint64
	Wait   time.Duration
}

// FollowReply brings changes, or the heads of all documents when the changes
// are no longer remembered. Age is the time since the state covered the log.
type FollowReply struct {
	Covered  bool
	Epoch    uint64
	Seq      uint64
	Digest   uint64
	Position uint64
	Age      time.Duration
	Changes  []fold.Document
	Heads    []Head
}

// Head is a document without its content.
type Head struct {
	Name     string
	Revision uint64
	Digest   uint64
}

// FetchRequest asks for documents by name.
type FetchRequest struct{ Names []string }

// FetchReply brings the documents that are known.
type FetchReply struct{ Documents []fold.Document }

// receiver serves the calls of followers.
type receiver struct {
	store *store
}

// Follow answers a follower.
func (r *receiver) Follow(request FollowRequest, reply *FollowReply) error {
	standing := r.store.standing()
	if standing.covered && standing.digest == request.Digest && request.Wait > 0 {
		waitForChange(standing.changed, min(request.Wait, followWait))
		standing = r.store.standing()
	}
	*reply = FollowReply{
		Covered:  standing.covered,
		Epoch:    r.store.epoch,
		Position: standing.position,
		Digest:   standing.digest,
		Age:      time.Since(standing.freshAt),
	}
	r.store.mutex.Lock()
	reply.Seq = r.store.seq
	r.store.mutex.Unlock()
	if !standing.covered || standing.digest == request.Digest {
		return nil
	}
	if request.Epoch == r.store.epoch {
		if changes, complete := r.store.changesSince(request.Seq); complete {
			reply.Changes = changes
			return nil
		}
	}
	reply.Heads = r.store.heads()
	return nil
}

func waitForChange(changed <-chan struct{}, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

// Fetch answers with documents.
func (r *receiver) Fetch(request FetchRequest, reply *FetchReply) error {
	reply.Documents = r.store.documents(request.Names)
	return nil
}

// cursor is how far this daemon has followed another one.
type cursor struct {
	epoch uint64
	seq   uint64
}

// followOnce takes what another daemon has and returns how old that is; it
// reports whether that daemon covers the log at all.
func (s *Service) followOnce(
	ctx context.Context, name string, address netip.AddrPort, wait time.Duration,
) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, followLimit)
	defer cancel()
	at := s.cursors[name]
	reply, err := wire.Call[FollowRequest, FollowReply](ctx, s.peers, address, followMethod, FollowRequest{
		Epoch:  at.epoch,
		Seq:    at.seq,
		Digest: s.store.standing().digest,
		Wait:   wait,
	})
	if err != nil || !reply.Covered {
		return 0, false
	}
	now := time.Now()
	s.store.merge(now, reply.Changes)
	if err := s.fetchMissing(ctx, address, reply.Heads); err != nil {
		return 0, false
	}
	s.cursors[name] = cursor{epoch: reply.Epoch, seq: reply.Seq}
	if s.store.standing().digest == reply.Digest {
		s.store.seek(reply.Position)
		s.store.confirm(now.Add(-reply.Age))
	} else {
		delete(s.cursors, name)
	}
	return reply.Age, true
}

func (s *Service) fetchMissing(ctx context.Context, address netip.AddrPort, heads []Head) error {
	names := s.store.missing(heads)
	for start := 0; start < len(names); start += fetchBatch {
		request := FetchRequest{Names: names[start:min(start+fetchBatch, len(names))]}
		reply, err := wire.Call[FetchRequest, FetchReply](ctx, s.peers, address, fetchMethod, request)
		if err != nil {
			return err
		}
		s.store.merge(time.Now(), reply.Documents)
	}
	return nil
}
