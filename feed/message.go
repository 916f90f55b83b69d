package feed

import (
	"time"

	"dandeliondoor/topo"
)

// The call by which a daemon follows another one.
const (
	receiverName = "Feed"
	followMethod = "Feed.Follow"
)

// FollowRequest says what the follower has already: revisions count for the
// incarnation of the followed process that gave them, sums for any. Name is the
// follower's.
type FollowRequest struct {
	Name        string
	Incarnation uint64
	Config      uint64
	Servers     uint64
	ServersSum  uint64
	Daemons     uint64
	DaemonsSum  uint64
}

// FollowReply brings what is newer. Age is how long ago the store confirmed it,
// Path the daemons through which it came, the replying one last. Unfit says that
// the replying daemon is stopping or gets its view from the follower.
type FollowReply struct {
	Incarnation     uint64
	Age             time.Duration
	Known           bool
	Unfit           bool
	Path            []string
	Config          *topo.Config
	Servers         []ServerChange
	ServersComplete bool
	ServersRev      uint64
	Daemons         []topo.Change[topo.Daemon]
	DaemonsComplete bool
	DaemonsRev      uint64
}

// ServerChange is a change of a server with the rest of its warm-up, since a
// time of one process means nothing to another. Held says that the server's
// entry is missing and may come back, so that only those keep it who have it.
type ServerChange struct {
	Change   topo.Change[topo.Server]
	ColdLeft time.Duration
	Held     bool
}

func toWire(now time.Time, changes []topo.Change[topo.Server], held map[string]struct{}) []ServerChange {
	sent := make([]ServerChange, len(changes))
	for i, change := range changes {
		sent[i].ColdLeft = max(change.Value.ColdUntil.Sub(now), 0)
		change.Value.ColdUntil = time.Time{}
		sent[i].Change = change
		_, sent[i].Held = held[change.Key]
	}
	return sent
}

// fromWire returns the changes of a reply. Held servers that are not known here
// are left out; the others are noted as held here too.
func fromWire(
	now time.Time, sent []ServerChange, known *topo.VersionedTable[topo.Server], held *lapses,
) []topo.Change[topo.Server] {
	changes := make([]topo.Change[topo.Server], 0, len(sent))
	for _, item := range sent {
		_, has := known.Get(item.Change.Key)
		if item.Held && !has {
			continue
		}
		held.note(item.Change.Key, item.Held)
		if item.ColdLeft > 0 {
			item.Change.Value.ColdUntil = now.Add(item.ColdLeft)
		}
		changes = append(changes, item.Change)
	}
	return changes
}
