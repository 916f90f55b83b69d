package topo

import (
	"net/netip"
	"time"
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

// Same reports whether two records say the same of a server, but for the rest of
// its warm-up.
func (s Server) Same(other Server) bool {
	s.ColdUntil, other.ColdUntil = time.Time{}, time.Time{}
	return s == other
}

// Daemon is one process of the fleet that other daemons can call.
type Daemon struct {
	Name    string
	Zone    string
	Address netip.AddrPort
	Cores   float64
}
