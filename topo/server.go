package topo

import (
	"net/netip"
	"time"

	"dandeliondoor/rank"
)

// Server is one running upstream. ID is unique among the running servers. Born
// is the start time of this incarnation, which distinguishes a restart under the
// same ID. ColdUntil is the expected end of the warm-up, by the clock of this
// process; zero means that the server is warm. Sequence is the number of the entry among
// those of this start.
type Server struct {
	ID        string
	Service   string
	Address   netip.AddrPort
	Zone      string
	Slots     int
	Draining  bool
	Born      int64
	Sequence  int64
	ColdUntil time.Time
}

// EqualExceptWarmUp reports whether two records are equal, ignoring ColdUntil and Sequence.
func (s Server) EqualExceptWarmUp(other Server) bool {
	s.ColdUntil, other.ColdUntil = time.Time{}, time.Time{}
	s.Sequence, other.Sequence = 0, 0
	return s == other
}

// Daemon is one process of the fleet that other daemons can call. Capacity is
// the amount of work that it can do for other daemons, relative to a typical VM.
type Daemon struct {
	Name     string
	Zone     string
	Address  netip.AddrPort
	Capacity float64
}

// Resources of a typical VM, whose capacity is 1.
const (
	typicalCores    = 0.32
	typicalLinkMbps = 100
)

// Capacity returns the capacity of a VM relative to a typical one, limited by
// the scarcer of its CPU and its network link.
func Capacity(cores, linkMbps float64) float64 {
	return min(cores/typicalCores, linkMbps/typicalLinkMbps)
}

// RankDaemons orders the daemons for a key by weighted rendezvous hashing,
// highest rank first. Daemons with more capacity rank high for more keys; the
// weight is the square of the capacity.
func RankDaemons(key string, daemons []Daemon) []Daemon {
	return rank.Weighted(key, daemons,
		func(d Daemon) string { return d.Name },
		func(d Daemon) float64 { return d.Capacity * d.Capacity })
}
