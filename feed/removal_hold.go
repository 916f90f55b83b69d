package feed

import (
	"time"

	"dandeliondoor/topo"
)

// removalGrace is how long a server with a missing entry is kept after the store
// has recovered. Servers whose entries expired during the outage register again
// within two seconds.
const removalGrace = 2200 * time.Millisecond

// removalHold delays the removal of servers after a store outage, because
// entries expire while servers cannot renew them. Held contains the IDs of the
// servers whose entries are missing, and until is the end of the delay.
type removalHold struct {
	until time.Time
	held  map[string]struct{}
}

// storeRecovered starts the delay when the store responds again after an outage.
func (h *removalHold) storeRecovered(now time.Time) { h.until = now.Add(removalGrace) }

// mark records whether another daemon reports a server's entry as missing.
func (h *removalHold) mark(key string, missing bool) {
	switch {
	case !missing:
		delete(h.held, key)
	case h.held == nil:
		h.held = map[string]struct{}{key: {}}
	default:
		h.held[key] = struct{}{}
	}
}

// filter drops removals from a list of changes during the delay and returns the
// remaining changes. After the delay it removes the held servers, except those that
// changes contains again. RemoveUnlisted equals complete after the delay and is false
// during it, when the keys that a complete list doesn't contain must not be removed
// yet.
func (h *removalHold) filter(
	now time.Time, table *topo.VersionedTable[topo.Server], changes []topo.Change[topo.Server], complete bool,
) (filtered []topo.Change[topo.Server], removeUnlisted bool) {
	if !now.Before(h.until) {
		for key := range h.held {
			filtered = append(filtered, topo.Change[topo.Server]{Key: key, Gone: true})
		}
		h.held = nil
		return append(filtered, changes...), complete
	}
	if h.held == nil {
		h.held = make(map[string]struct{})
	}
	if complete {
		for _, key := range unlistedKeys(table, changes) {
			h.held[key] = struct{}{}
		}
	}
	for _, change := range changes {
		if change.Gone {
			h.held[change.Key] = struct{}{}
			continue
		}
		delete(h.held, change.Key)
		filtered = append(filtered, change)
	}
	return filtered, false
}
