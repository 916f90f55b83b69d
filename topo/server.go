package topo

import (
	"net/netip"
	"time"

	"dandeliondoor/rank"
)

// Server is one running upstream. ID is unique among those that run; Born is
// when this incarnation started, so that a restart under the same ID is told
// apart. ColdUntil is when it is expected to work at full speed, on the clock of
// this process; zero means at once.
type Server struct {
	ID        string
	Service   string
	Address   netip.AddrPort
	Zone      string
	Slots     int
	Draining  bool
	Born      int64
	ColdUntil time.Time
}

// EqualExceptWarmUp reports whether two records say the same of a server, but for the rest of
// its warm-up.
func (s Server) EqualExceptWarmUp(other Server) bool {
	s.ColdUntil, other.ColdUntil = time.Time{}, time.Time{}
	return s == other
}

// Daemon is one process of the fleet that other daemons can call. Capacity is how
// much work for others it can take, 1 for a usual VM.
type Daemon struct {
	Name     string
	Zone     string
	Address  netip.AddrPort
	Capacity float64
}

// What a usual VM has.
const (
	usualCores = 0.32
	usualLink  = 100
)

// Capacity returns how much work for others a VM can take, by the scarcer of its
// processor, in cores, and its link, in Mbit/s.
func Capacity(cores, link float64) float64 {
	return min(cores/usualCores, link/usualLink)
}

// RankDaemons returns the daemons by falling rank for a key; those that can take
// more work rank higher more often.
func RankDaemons(key string, daemons []Daemon) []Daemon {
	return rank.Weighted(key, daemons,
		func(d Daemon) string { return d.Name },
		func(d Daemon) float64 { return d.Capacity * d.Capacity })
}
