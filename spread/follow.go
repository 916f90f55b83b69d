package spread

import (
	"context"
	"net/netip"
	"time"

	"dandeliondoor/fold"
	"dandeliondoor/wire"
)

// The net/rpc receiver and methods that followers call.
const (
	receiverName = "Config"
	followMethod = "Config.Follow"
	fetchMethod  = "Config.Fetch"
)

const (
	// longPollTimeout is the longest time for which Follow waits for a change.
	longPollTimeout = 1500 * time.Millisecond
	// followCallTimeout is the timeout of a Follow call, including its Fetch calls.
	followCallTimeout = longPollTimeout + time.Second
	// fetchBatchSize is the number of documents per Fetch call.
	fetchBatchSize = 64
)

// FollowRequest asks for the changes since the last reply of the same daemon. Epoch
// and Seq are those of that reply, and Digest is the digest of the caller's state.
// If Wait is positive and the digests are equal, the reply is sent after the next
// change or after Wait, whichever comes first.
type FollowRequest struct {
	Epoch  uint64
	Seq    uint64
	Digest uint64
	Wait   time.Duration
}

// FollowReply holds the changes since the request's Seq, or the heads of all
// documents if those changes are no longer in the history or Seq is of another
// epoch. It holds neither if the digests are equal or Covered is false. Covered
// reports whether the state has ever included the whole log; Age is the time since
// it last did. Epoch identifies the run of the daemon that counts Seq.
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

// Head identifies the content of a document by its revision and digest.
type Head struct {
	Name     string
	Revision uint64
	Digest   uint64
}

// FetchRequest asks for documents by name.
type FetchRequest struct{ Names []string }

// FetchReply holds those of the requested documents that the daemon has.
type FetchReply struct{ Documents []fold.Document }

// receiver implements the net/rpc methods that followers call.
type receiver struct {
	store *store
}

// Follow returns the changes since the last request, after waiting for one if the
// request asks for it.
func (r *receiver) Follow(request FollowRequest, reply *FollowReply) error {
	snapshot := r.store.snapshot()
	if snapshot.covered && snapshot.digest == request.Digest && request.Wait > 0 {
		waitForChange(snapshot.changed, min(request.Wait, longPollTimeout))
		snapshot = r.store.snapshot()
	}
	*reply = FollowReply{
		Covered:  snapshot.covered,
		Epoch:    r.store.epoch,
		Position: snapshot.position,
		Digest:   snapshot.digest,
		Age:      time.Since(snapshot.asOf),
	}
	r.store.mutex.Lock()
	reply.Seq = r.store.seq
	r.store.mutex.Unlock()
	if !snapshot.covered || snapshot.digest == request.Digest {
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

func waitForChange(changed <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

// Fetch returns documents by name.
func (r *receiver) Fetch(request FetchRequest, reply *FetchReply) error {
	reply.Documents = r.store.documents(request.Names)
	return nil
}

// cursor is the position of this daemon in the changes of another one.
type cursor struct {
	epoch uint64
	seq   uint64
}

// followOnce merges the changes of another daemon into the store. It returns the
// age of that daemon's state, and false if the call failed or the daemon's state
// has never included the whole log.
func (s *Service) followOnce(
	ctx context.Context, name string, address netip.AddrPort, wait time.Duration,
) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, followCallTimeout)
	defer cancel()
	last := s.cursors[name]
	reply, err := wire.Call[FollowRequest, FollowReply](ctx, s.peers, address, followMethod, FollowRequest{
		Epoch:  last.epoch,
		Seq:    last.seq,
		Digest: s.store.snapshot().digest,
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
	if s.store.snapshot().digest == reply.Digest {
		s.store.seek(reply.Position)
		s.store.confirm(now.Add(-reply.Age))
	} else {
		// Without a cursor, the next reply holds the heads of all documents.
		delete(s.cursors, name)
	}
	return reply.Age, true
}

func (s *Service) fetchMissing(ctx context.Context, address netip.AddrPort, heads []Head) error {
	names := s.store.missing(heads)
	for start := 0; start < len(names); start += fetchBatchSize {
		request := FetchRequest{Names: names[start:min(start+fetchBatchSize, len(names))]}
		reply, err := wire.Call[FetchRequest, FetchReply](ctx, s.peers, address, fetchMethod, request)
		if err != nil {
			return err
		}
		s.store.merge(time.Now(), reply.Documents)
	}
	return nil
}
