package front

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"dandeliondoor/choose"
	"dandeliondoor/proto"
	"dandeliondoor/topo"
)

// errHeld is the cause of an attempt that isn't made because its server wants no further
// requests.
var errHeld = errors.New("server wants no further requests")

// problemLogInterval is the minimum time between two lines about unusable values that are
// not at level debug.
const problemLogInterval = time.Second

// holdKind is what a server that wants no further requests asks for.
type holdKind string

const (
	holdLeaving holdKind = "leaving"
	holdPause   holdKind = "pause"
)

// heldServers tracks the servers that want no further requests of this daemon. Recorded
// is whether any server has asked for that.
type heldServers struct {
	metrics  *metrics
	log      *logrus.Entry
	recorded atomic.Bool

	mutex           sync.Mutex
	holds           *choose.Holds
	problemLoggedAt time.Time
}

func newHeldServers(metrics *metrics, log *logrus.Entry) *heldServers {
	return &heldServers{metrics: metrics, log: log, holds: choose.NewHolds()}
}

// record records what a server asks for in a response to the request with an ID.
func (s *heldServers) record(now time.Time, server topo.Server, report proto.Report, requestID string) {
	if report.LeavingProblem != proto.ProblemNone || report.RetryAfterProblem != proto.ProblemNone {
		s.recordProblems(now, server, report, requestID)
	}
	if !report.Leaving && report.RetryAfter <= 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if report.Leaving {
		s.holds.Leave(now, server)
	}
	if report.RetryAfter > 0 {
		s.holds.Pause(now, server, report.RetryAfter)
	}
	s.recorded.Store(true)
	s.log.WithField("server", server.ID).WithField("leaving", report.Leaving).WithField("request_id", requestID).
		WithField("retry_after", report.RetryAfter.String()).Debug("server wants no further requests")
}

// recordProblems records that a server sent values that were ignored or bounded.
func (s *heldServers) recordProblems(now time.Time, server topo.Server, report proto.Report, requestID string) {
	log := s.log.WithField("server", server.ID).WithField("request_id", requestID)
	if report.LeavingProblem != proto.ProblemNone {
		s.metrics.unusable.WithLabelValues(string(holdLeaving), string(report.LeavingProblem)).Inc()
		log = log.WithField("leaving_problem", string(report.LeavingProblem))
	}
	if report.RetryAfterProblem != proto.ProblemNone {
		s.metrics.unusable.WithLabelValues(string(holdPause), string(report.RetryAfterProblem)).Inc()
		log = log.WithField("pause_problem", string(report.RetryAfterProblem)).WithField("pause", report.RetryAfter.String())
	}
	level := logrus.DebugLevel
	if s.mayLogProblem(now) {
		level = logrus.InfoLevel
	}
	log.Log(level, "server sent an unusable value")
}

// mayLogProblem reports whether the last line about an unusable value was long enough ago.
func (s *heldServers) mayLogProblem(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.problemLoggedAt) < problemLogInterval {
		return false
	}
	s.problemLoggedAt = now
	return true
}

// isHeld reports whether a start of a server wants no requests at a time, if it says
// nothing new until then.
func (s *heldServers) isHeld(now time.Time, server topo.Server) bool {
	if !s.recorded.Load() {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.holds.HeldAt(now, server)
}

// of returns those of the servers that want no requests now.
func (s *heldServers) of(now time.Time, servers []topo.Server) []string {
	if !s.recorded.Load() {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.holds.Held(now, servers)
}

// sweep drops what ended, and what servers that are gone asked for.
func (s *heldServers) sweep(now time.Time, listed map[string]topo.Server) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.holds.Sweep(now, listed)
}

// nextEnd returns the time until the first of the servers wants requests again, 0 if one
// wants them now or none is paused.
func (s *heldServers) nextEnd(now time.Time, servers []topo.Server) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.holds.NextEnd(now, servers)
}
