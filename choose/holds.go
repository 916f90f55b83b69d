package choose

import (
	"maps"
	"net/netip"
	"time"

	"dandeliondoor/topo"
)

const (
	// maxPause bounds how long a server can keep one daemon away.
	maxPause = 24 * time.Hour
	// holdRetention is how long a leaving server is remembered after it was listed
	// last: its entry may only be missing for a while.
	holdRetention = 24 * time.Hour
	// replacedRetention is the same while another start of the server is listed. Only
	// an older list can show the earlier one again.
	replacedRetention = time.Minute
	// holdSweepInterval is how often the holds are compared with the listed servers.
	holdSweepInterval = 5 * time.Second
	// carriedPeriod is how long after the response a hold that is probably of a start that
	// isn't listed yet counts for that one. It exceeds an outage of the store of 12 s, and
	// bounds the harm if the hold was of the earlier start.
	carriedPeriod = 15 * time.Second
)

// Holds tracks the servers that asked this daemon for no further requests: those that
// leave, and those that turned a request away for a period. Its size is bounded by the
// number of servers that are listed or were within holdRetention.
//
// A new start of a server may respond before it is listed, under the name of the earlier
// one. A response on a connection that was opened after the earlier start seemed to end is
// taken as such, and what it asks for counts for the next start as well, for carriedPeriod.
type Holds struct {
	holds   map[holdKey]hold
	ends    map[holdKey]time.Time
	carried map[string]carriedHold
	sweptAt time.Time
}

// holdKey identifies one start of a server.
type holdKey struct {
	server string
	born   int64
}

type hold struct {
	leaving     bool
	pausedUntil time.Time
	listedAt    time.Time
}

// carriedHold is what a start of a server asked for that was probably not listed yet. Born
// and address are those of the start that was listed.
type carriedHold struct {
	hold

	born    int64
	address netip.AddrPort
	until   time.Time
}

// NewHolds returns an empty Holds.
func NewHolds() *Holds {
	return &Holds{holds: make(map[holdKey]hold), ends: make(map[holdKey]time.Time), carried: make(map[string]carriedHold)}
}

// End records that a start of a server seems to have ended, since it refused or closed a
// connection.
func (h *Holds) End(now time.Time, server topo.Server) { h.ends[keyOf(server)] = now }

// Leave records that a server is leaving, which it does until it ends. It said so on a
// connection that was opened at a time.
func (h *Holds) Leave(now, opened time.Time, server topo.Server) {
	h.update(now, opened, server, func(known *hold) { known.leaving = true })
}

// Pause records that a server wants no requests for a period. It said so on a connection
// that was opened at a time.
func (h *Holds) Pause(now, opened time.Time, server topo.Server, period time.Duration) {
	until := now.Add(min(period, maxPause))
	h.update(now, opened, server, func(known *hold) {
		if until.After(known.pausedUntil) {
			known.pausedUntil = until
		}
	})
}

func (h *Holds) update(now, opened time.Time, server topo.Server, change func(known *hold)) {
	key := keyOf(server)
	known := h.holds[key]
	known.listedAt = now
	change(&known)
	h.holds[key] = known
	if end, ended := h.ends[key]; !ended || opened.Before(end) {
		return
	}
	carried := h.carried[server.ID]
	if carried.born != server.Born {
		carried = carriedHold{}
	}
	change(&carried.hold)
	carried.born, carried.address, carried.until = server.Born, server.Address, now.Add(carriedPeriod)
	h.carried[server.ID] = carried
}

// IsCarried reports whether a start of a server wants no requests because of a response
// that arrived before it was listed.
func (h *Holds) IsCarried(now time.Time, server topo.Server) bool {
	return h.carriedTo(now, server).inForce(now)
}

// carriedTo returns what a start of a server probably asked for before it was listed.
func (h *Holds) carriedTo(now time.Time, server topo.Server) hold {
	carried, found := h.carried[server.ID]
	if !found || carried.born == server.Born || carried.address != server.Address || !now.Before(carried.until) {
		return hold{}
	}
	return carried.hold
}

// of returns what a start of a server has asked for.
func (h *Holds) of(now time.Time, server topo.Server) hold {
	known, carried := h.holds[keyOf(server)], h.carriedTo(now, server)
	known.leaving = known.leaving || carried.leaving
	if carried.pausedUntil.After(known.pausedUntil) {
		known.pausedUntil = carried.pausedUntil
	}
	return known
}

func keyOf(server topo.Server) holdKey { return holdKey{server: server.ID, born: server.Born} }

// Sweep drops the holds that have ended, and those of starts that are over. It does
// nothing if the last sweep was a moment ago.
func (h *Holds) Sweep(now time.Time, listed map[string]topo.Server) {
	if now.Sub(h.sweptAt) < holdSweepInterval {
		return
	}
	h.sweptAt = now
	for key, known := range h.holds {
		server, found := listed[key.server]
		if found && server.Born == key.born {
			known.listedAt = now
			h.holds[key] = known
		}
		if !known.inForce(now) || known.isOver(now, found) {
			delete(h.holds, key)
		}
	}
	// An end is needed until the next start is listed.
	maps.DeleteFunc(h.ends, func(_ holdKey, end time.Time) bool { return now.Sub(end) > replacedRetention })
	maps.DeleteFunc(h.carried, func(_ string, carried carriedHold) bool { return !now.Before(carried.until) })
}

// inForce reports whether the server still wants no requests.
func (h hold) inForce(now time.Time) bool { return h.leaving || now.Before(h.pausedUntil) }

// isOver reports whether the start of the server has been missing in the list for so
// long that it has ended. Replaced means that another start is listed.
func (h hold) isOver(now time.Time, replaced bool) bool {
	if replaced {
		return now.Sub(h.listedAt) > replacedRetention
	}
	return now.Sub(h.listedAt) > holdRetention
}

// Len returns the number of holds.
func (h *Holds) Len() int { return len(h.holds) }

// Held returns those of the servers that get no requests of this daemon.
func (h *Holds) Held(now time.Time, servers []topo.Server) []string {
	if len(h.holds) == 0 && len(h.carried) == 0 {
		return nil
	}
	var held []string
	for _, server := range servers {
		if h.of(now, server).inForce(now) {
			held = append(held, server.ID)
		}
	}
	return held
}

// HeldAt reports whether a server will get no requests of this daemon at a time, if it
// says nothing new until then.
func (h *Holds) HeldAt(at time.Time, server topo.Server) bool {
	return h.of(at, server).inForce(at)
}

// NextEnd returns the time until the first of the servers wants requests again, 0 if one
// wants them now or none is paused. It ignores servers that drain.
func (h *Holds) NextEnd(now time.Time, servers []topo.Server) time.Duration {
	var next time.Duration
	for _, server := range servers {
		if server.Draining {
			continue
		}
		known := h.of(now, server)
		if !known.inForce(now) {
			return 0
		}
		if left := known.pausedUntil.Sub(now); !known.leaving && (next == 0 || left < next) {
			next = left
		}
	}
	return next
}

// State returns whether a start of a server is leaving, and what is left of its pause, 0
// if it is in none.
func (h *Holds) State(now time.Time, server topo.Server) (leaving bool, pause time.Duration) {
	known := h.of(now, server)
	return known.leaving, max(known.pausedUntil.Sub(now), 0)
}
