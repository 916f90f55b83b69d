package feed

import (
	"time"

	"dandeliondoor/topo"
)

// lapseGrace is how long after the store's return a server whose entry is
// missing is kept: entries that lapsed meanwhile are back within two seconds.
const lapseGrace = 2200 * time.Millisecond

// lapses holds back the removal of servers around an outage of the store, for
// their entries may have lapsed while they could not renew them.
type lapses struct {
	until   time.Time
	removed map[string]struct{}
}

// returned says that the store answers again after an outage.
func (l *lapses) returned(now time.Time) { l.until = now.Add(lapseGrace) }

// note takes from another daemon whether a server's entry is missing.
func (l *lapses) note(key string, missing bool) {
	switch {
	case !missing:
		delete(l.removed, key)
	case l.removed == nil:
		l.removed = map[string]struct{}{key: {}}
	default:
		l.removed[key] = struct{}{}
	}
}

// hold takes the removals out of a list of changes while they have to wait, and
// returns those whose time is over.
func (l *lapses) hold(
	now time.Time, table *topo.VersionedTable[topo.Server], changes []topo.Change[topo.Server], complete bool,
) (kept []topo.Change[topo.Server], removals bool) {
	if !now.Before(l.until) {
		for key := range l.removed {
			kept = append(kept, topo.Change[topo.Server]{Key: key, Gone: true})
		}
		l.removed = nil
		return append(kept, changes...), complete
	}
	if l.removed == nil {
		l.removed = make(map[string]struct{})
	}
	if complete {
		for _, key := range missing(table, changes) {
			l.removed[key] = struct{}{}
		}
	}
	for _, change := range changes {
		if change.Gone {
			l.removed[change.Key] = struct{}{}
			continue
		}
		delete(l.removed, change.Key)
		kept = append(kept, change)
	}
	return kept, false
}
