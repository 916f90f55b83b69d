package broker

import (
	"net/netip"
	"time"

	"dandeliondoor/model"
)

// server is what a pool counts of one upstream.
type server struct {
	name         string
	address      netip.AddrPort
	slots        int
	connections  int
	running      int
	long         int
	load         float64
	saysLeaving  bool
	listLeaving  bool
	shedUntil    time.Time
	alone        bool
	reservedFor  *waiting
	trialRunning bool
}

func newServer(upstream model.Upstream) *server {
	return &server{
		name:        upstream.Name,
		address:     upstream.Address,
		slots:       upstream.Slots,
		connections: upstream.Connections,
	}
}

func (s *server) leaving() bool {
	return s.saysLeaving || s.listLeaving
}

// takesLong reports whether a long request leaves a slot for short ones.
func (s *server) takesLong() bool {
	return s.long+1 < s.slots || s.slots == 1
}
