package feed

import (
	"time"

	"dandeliondoor/crash"
	"dandeliondoor/topo"
)

// RPC names of the calls by which a daemon follows another one, asks a seed for its
// sources, and asks whether others are in reach. receiverName is also part of the key that ranks the daemons of a zone.
const (
	receiverName = "Feed"
	followMethod = "Feed.Follow"
	joinMethod   = "Feed.Join"
	configMethod = "Feed.Config"

	unreachedMethod = "Feed.Unreached"
)

// JoinRequest asks for the sources of a daemon.
type JoinRequest struct{ Daemon topo.Daemon }

// JoinReply contains the sources that the daemon tries, in this order. There are none
// if the replying daemon does not know the fleet.
type JoinReply struct{ Sources []topo.Daemon }

// UnreachedRequest asks which of some daemons are out of reach.
type UnreachedRequest struct{ Daemons []topo.Daemon }

// UnreachedReply contains those of the request that are out of reach of the replying daemon.
type UnreachedReply struct{ Daemons []topo.Daemon }

// GoneDaemon is a daemon that two others could not reach for long. Age is the time since
// they last tried.
type GoneDaemon struct {
	Daemon topo.Daemon
	Age    time.Duration
}

// FollowRequest describes the data that the follower already has. Confirmed and the
// revisions in Servers, Daemons and Crashes are valid only for the process with that
// Incarnation; the checksums in ServersSum, DaemonsSum and CrashesSum are valid for any
// process.
// Config is the version of the configuration, and Name is the follower's name. Gone lists
// the daemons that the follower and its own followers found to be gone. Newer is the follower's
// configuration if the source has asked for it. Remembers is the time since View.RememberedSince,
// 0 if it is unknown.
type FollowRequest struct {
	Name        string
	Incarnation uint64
	Confirmed   uint64
	Config      uint64
	Servers     uint64
	ServersSum  uint64
	Daemons     uint64
	DaemonsSum  uint64
	Crashes     uint64
	CrashesSum  uint64
	Gone        []GoneDaemon
	Newer       *topo.Config
	Remembers   time.Duration
}

// FollowReply contains the data that is newer than the follower's. Age is the
// time since the store last confirmed the servers, ConfigAge that since it confirmed the
// configuration, Confirmed counts the confirmations,
// and Path lists the daemons that passed the data on, the replying daemon last. Known is set once the replying daemon
// has a configuration and a list of servers. Unfit is set if the replying daemon
// is stopping or gets its view from the follower. Without Known, or with Unfit,
// no data is sent. The eras are those of the store that the tables were read in; 0 means none.
// DaemonsKnown and CrashesKnown are set once these tables were read.
// WantsConfig is set if the follower is to send its newer configuration with the next request.
// Remembers is as in FollowRequest. Parts is View.Parts. Snapshot replaces the tables and the configuration if all are sent.
type FollowReply struct {
	Incarnation     uint64
	Age             time.Duration
	ConfigAge       time.Duration
	Confirmed       uint64
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
	Crashes         []topo.Change[crash.Record]
	CrashesComplete bool
	CrashesRev      uint64
	ServersEra      uint64
	DaemonsEra      uint64
	CrashesEra      uint64
	DaemonsKnown    bool
	CrashesKnown    bool
	WantsConfig     bool
	Remembers       time.Duration
	Parts           map[string]int
	Snapshot        []byte
}

// ServerChange is a change of a server. ColdLeft is the rest of its warm-up,
// sent as a duration because the clocks of two processes differ. Held is set
// while the server's entry is missing from the store and may come back;
// receivers that know the server keep it, and others must not add it.
type ServerChange struct {
	Change   topo.Change[topo.Server]
	ColdLeft time.Duration
	Held     bool
}

// toWire converts changes for a reply; held contains the IDs of the held
// servers, and hold those that are held or accepted since a restore of the store.
func toWire(
	now time.Time, changes []topo.Change[topo.Server], held map[string]struct{}, hold *RestoreHold[topo.Server],
) []ServerChange {
	encoded := make([]ServerChange, len(changes))
	for i, change := range changes {
		encoded[i].ColdLeft = max(change.Value.ColdUntil.Sub(now), 0)
		change.Value.ColdUntil = time.Time{}
		encoded[i].Change = change
		_, encoded[i].Held = held[change.Key]
		encoded[i].Held = encoded[i].Held || hold.isHeld(change.Key)
		encoded[i].Change.Copied = hold.isAccepted(change.Key)
	}
	return encoded
}

// fromWire converts the changes of a reply. It drops held servers that are
// unknown here and marks the other ones in removals, as held or no longer held.
func fromWire(
	now time.Time, received []ServerChange, known *topo.VersionedTable[topo.Server], removals *removalHold,
) []topo.Change[topo.Server] {
	changes := make([]topo.Change[topo.Server], 0, len(received))
	for _, item := range received {
		_, found := known.Get(item.Change.Key)
		if item.Held && !found {
			continue
		}
		removals.mark(item.Change.Key, item.Held)
		if item.ColdLeft > 0 {
			item.Change.Value.ColdUntil = now.Add(item.ColdLeft)
		}
		changes = append(changes, item.Change)
	}
	return changes
}
