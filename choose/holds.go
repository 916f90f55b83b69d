package choose

import (
	"time"

	"dandeliondoor/topo"
)

const (
	// maxPause bounds how long a server can keep one daemon away.
	maxPause = 24 * time.Hour
	// holdRetention is how long the wish of a server is kept after the server was
	// listed last: its entry may only be missing for a while.
	holdRetention = time.Hour
)

// Holds tracks the servers that asked this daemon for no further requests: those that
// leave, and those that turned a request away for a period.
type Holds struct {
	holds map[holdKey]hold
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

// NewHolds returns an empty Holds.
func NewHolds() *Holds { return &Holds{holds: make(map[holdKey]hold)} }

// Leave records that a server is leaving, which it does until it ends.
func (h *Holds) Leave(now time.Time, server topo.Server) {
	h.update(now, server, func(known *hold) { known.leaving = true })
}

// Pause records that a server wants no requests for a period.
func (h *Holds) Pause(now time.Time, server topo.Server, period time.Duration) {
	until := now.Add(min(period, maxPause))
	h.update(now, server, func(known *hold) {
		if until.After(known.pausedUntil) {
			known.pausedUntil = until
		}
	})
}

func (h *Holds) update(now time.Time, server topo.Server, change func(known *hold)) {
	h.expire(now)
	key := holdKey{server: server.ID, born: server.Born}
	known := h.holds[key]
	known.listedAt = now
	change(&known)
	h.holds[key] = known
}

// expire drops the holds that have ended and those of servers that are gone.
func (h *Holds) expire(now time.Time) {
	for key, known := range h.holds {
		ended := !known.leaving && !now.Before(known.pausedUntil)
		if ended || (now.Sub(known.listedAt) > holdRetention && !now.Before(known.pausedUntil)) {
			delete(h.holds, key)
		}
	}
}

// Held returns the listed servers that get no requests of this daemon.
func (h *Holds) Held(now time.Time, listed map[string]topo.Server) []string {
	var held []string
	for key, known := range h.holds {
		server, found := listed[key.server]
		if !found || server.Born != key.born {
			continue
		}
		known.listedAt = now
		h.holds[key] = known
		if known.leaving || now.Before(known.pausedUntil) {
			held = append(held, key.server)
		}
	}
	return held
}

// NextEnd returns the time until the first of the servers wants requests again, 0 if
// none is paused.
func (h *Holds) NextEnd(now time.Time, servers []topo.Server) time.Duration {
	var next time.Duration
	for _, server := range servers {
		known := h.holds[holdKey{server: server.ID, born: server.Born}]
		left := known.pausedUntil.Sub(now)
		if !known.leaving && left > 0 && (next == 0 || left < next) {
			next = left
		}
	}
	return next
}

// Wish returns whether a start of a server is leaving, and for how long it wants no
// requests of this daemon, 0 if it does not say.
func (h *Holds) Wish(now time.Time, server topo.Server) (leaving bool, pause time.Duration) {
	known := h.holds[holdKey{server: server.ID, born: server.Born}]
	return known.leaving, max(known.pausedUntil.Sub(now), 0)
}
