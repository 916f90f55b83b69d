package feed

import (
	"time"

	"dandeliondoor/topo"
)

// Position is an offset of a topic of the store, and the era of the store it belongs to.
type Position struct{ Era, Offset uint64 }

// Times for which the keys that were in effect and are missing from a restored store are
// kept. Servers write their entries again within two seconds, daemons their records within
// listInterval and a half after they got the new era, and the first homes of requests that
// crash servers at once. The latter two also wait for retries.
const (
	ServerGrace = removalGrace
	RecordGrace = 10 * time.Second
)

// Batch contains the changes of one poll, or of one reply of another daemon, and the era
// of the store that they are from. Known is set unless the other daemon has not read the
// table yet, and Same if its whole table equals that of this daemon. Complete means that the
// changes contain all keys.
type Batch[V any] struct {
	Era      uint64
	Known    bool
	Same     bool
	Changes  []topo.Change[V]
	Complete bool
}

// RestoreHold decides which changes of a table take effect after the store was restored
// from a copy. Known is set once the table was read, and witnessed if that was before the
// present era. Until is the end of the grace period. Held contains the keys in effect that the
// copy lacks. Doubted contains those that the copy has although they were not in effect, since
// they have ended or are new, and when that was noticed; they are ignored until they are
// written again. Accepted contains the keys of the copy that are in effect and were not written
// again: they were before, or this daemon didn't witness the restore.
// ResyncAt is when a follower asks for the whole table again, and resyncs how often it did.
type RestoreHold[V any] struct {
	grace     time.Duration
	older     func(change topo.Change[V], known V) bool
	era       uint64
	known     bool
	witnessed bool
	until     time.Time
	held      map[string]struct{}
	doubted   map[string]time.Time
	accepted  map[string]struct{}

	resyncAt time.Time
	resyncs  int
}

// NewServerHold returns the hold of a table of servers.
func NewServerHold() *RestoreHold[topo.Server] { return newRestoreHold(ServerGrace, isOlderServer) }

// NewRecordHold returns the hold of a table of records that name the era they were written in.
func NewRecordHold[V any]() *RestoreHold[V] { return newRestoreHold(RecordGrace, isCopied[V]) }

// newRestoreHold returns a hold. Older reports whether a change is from before a known value.
func newRestoreHold[V any](grace time.Duration, older func(change topo.Change[V], known V) bool) *RestoreHold[V] {
	return &RestoreHold[V]{
		grace: grace, older: older,
		held: make(map[string]struct{}), doubted: make(map[string]time.Time), accepted: make(map[string]struct{}),
	}
}

// isOlderServer reports whether an entry is from before a known one: of an earlier start of
// the server, an earlier one of its start, or from before it began to drain. Only entries of
// the copy are that by their start or number alone: others may be of an earlier start, since
// the clock of the later one was ahead.
func isOlderServer(change topo.Change[topo.Server], known topo.Server) bool {
	next := change.Value
	if next.Born != known.Born {
		return change.Copied && next.Born < known.Born
	}
	earlier := next.Sequence <= known.Sequence
	return earlier && (change.Copied || (known.Draining && !next.Draining))
}

// isCopied reports whether a value may be of the copy, and so from before the known one.
func isCopied[V any](change topo.Change[V], _ V) bool { return change.Copied }

// Filter returns the changes of a batch that take effect, and whether the keys that it lacks
// are to be removed. Without an era, these are all changes. It reports in restored whether the
// store was restored since the last batch.
func (h *RestoreHold[V]) Filter(now time.Time, table *topo.VersionedTable[V], b Batch[V]) (filtered Batch[V], restored bool) {
	if b.Era > h.era {
		restored, h.witnessed = h.known, h.known
		h.era, h.until = b.Era, now
		if restored {
			h.until = now.Add(h.grace)
		}
		clear(h.held)
		clear(h.doubted)
		clear(h.accepted)
		h.resyncAt, h.resyncs = now.Add(resyncWait), 0
	}
	h.known = h.known || b.Known || len(b.Changes) > 0
	if h.era == 0 {
		return b, false
	}
	if b.Same {
		// The source tells when it removes them.
		clear(h.held)
	}
	if b.Complete {
		for _, key := range unlistedKeys(table, b.Changes) {
			h.held[key] = struct{}{}
		}
	}
	filtered = Batch[V]{Era: b.Era}
	for _, change := range b.Changes {
		if kept, ok := h.apply(now, table, change); ok {
			filtered.Changes = append(filtered.Changes, kept)
		}
	}
	if !now.Before(h.until) {
		for key := range h.held {
			filtered.Changes = append(filtered.Changes, topo.Change[V]{Key: key, Gone: true})
		}
		clear(h.held)
	}
	return filtered, restored
}

// apply returns the change that takes effect instead of one of a batch, if any.
func (h *RestoreHold[V]) apply(now time.Time, table *topo.VersionedTable[V], change topo.Change[V]) (topo.Change[V], bool) {
	known, found := table.Get(change.Key)
	if _, held := h.held[change.Key]; held && !change.Gone {
		delete(h.held, change.Key)
		if found {
			// Followers that didn't know the key have left it out while it was held.
			table.Put(change.Key, known)
		}
	}
	if change.Copied && found {
		h.accepted[change.Key] = struct{}{}
	}
	switch {
	case change.Gone:
		delete(h.held, change.Key)
		delete(h.doubted, change.Key)
		delete(h.accepted, change.Key)
		return change, true
	case found && h.older(change, known):
		return topo.Change[V]{}, false
	case !change.Copied:
		delete(h.doubted, change.Key)
		delete(h.accepted, change.Key)
		return change, true
	case found:
		return change, true
	case !h.witnessed:
		h.accepted[change.Key] = struct{}{}
		return change, true
	default:
		if _, doubted := h.doubted[change.Key]; !doubted {
			h.doubted[change.Key] = now
		}
		return topo.Change[V]{}, false
	}
}

// DoubtedSince returns the keys that were doubted before a time and have not been written
// again.
func (h *RestoreHold[V]) DoubtedSince(since time.Time) []string {
	var keys []string
	for key, at := range h.doubted {
		if at.Before(since) {
			keys = append(keys, key)
		}
	}
	return keys
}

// maxResyncs bounds how often a follower asks for a whole table because of doubted or
// accepted keys, each time after twice the wait.
const (
	maxResyncs = 3
	resyncWait = ServerGrace
)

// resync reports whether a follower is to ask for the whole table now, since its source,
// which took over the keys of the copy, may know by now that they were written again.
func (h *RestoreHold[V]) resync(now time.Time) bool {
	if len(h.doubted)+len(h.accepted) == 0 || h.resyncs == maxResyncs || now.Before(h.resyncAt) {
		return false
	}
	h.resyncs++
	h.resyncAt = now.Add(resyncWait << h.resyncs)
	return true
}

// isAccepted reports whether a value in effect may come from the copy alone.
func (h *RestoreHold[V]) isAccepted(key string) bool {
	_, copied := h.accepted[key]
	return copied
}

// markAccepted sets Copied in the changes of a reply as isAccepted tells.
func (h *RestoreHold[V]) markAccepted(changes []topo.Change[V]) {
	for i := range changes {
		changes[i].Copied = h.isAccepted(changes[i].Key)
	}
}

// isHeld reports whether a key in effect is missing from the copy.
func (h *RestoreHold[V]) isHeld(key string) bool {
	_, held := h.held[key]
	return held
}
