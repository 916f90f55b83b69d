package broker

import (
	"net/netip"
	"time"

	"dandeliondoor/model"
)

// server is a pool's state of one upstream. While isolated is set, the upstream runs a
// suspect; reservedFor is the queued suspect that waits for its running requests to
// end.
type server struct {
	name             string
	address          netip.AddrPort
	slots            int
	connections      int
	running          int
	runningLong      int
	load             float64
	reportedDraining bool
	listedLeaving    bool
	pausedUntil      time.Time
	isolated         bool
	reservedFor      *queuedAsk
	trialRunning     bool
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
	return s.reportedDraining || s.listedLeaving
}

// acceptsLong reports whether another long request would leave a slot free for
// short ones. An upstream with a single slot always accepts long requests.
func (s *server) acceptsLong() bool {
	return s.runningLong+1 < s.slots || s.slots == 1
}
