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

// holdEnd is why a hold is no longer in force.
type holdEnd string

const (
	holdEndGone      holdEnd = "gone"
	holdEndOver      holdEnd = "pause_over"
	holdEndRestarted holdEnd = "restarted"
)

// observedKey identifies a hold of one kind on one start of a server.
type observedKey struct {
	server string
	born   int64
	kind   holdKind
}

// observedHold is a hold whose begin was logged. It began with the response to the request
// with the ID. Unlisted is set while the server is not listed.
type observedHold struct {
	requestID string
	began     time.Time
	unlisted  bool
}

// heldServers tracks the servers that want no further requests of this daemon. Recorded
// is whether any server has asked for that.
type heldServers struct {
	metrics  *metrics
	log      *logrus.Entry
	recorded atomic.Bool

	mutex           sync.Mutex
	holds           *choose.Holds
	observed        map[observedKey]observedHold
	problemLoggedAt time.Time
}

func newHeldServers(metrics *metrics, log *logrus.Entry) *heldServers {
	return &heldServers{metrics: metrics, log: log, holds: choose.NewHolds(), observed: make(map[observedKey]observedHold)}
}

// recordEnd records that a server seems to have ended.
func (s *heldServers) recordEnd(now time.Time, server topo.Server) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.holds.End(now, server)
}

// record records what a server asks for in a response to the request with an ID, on a
// connection that was opened at a time.
func (s *heldServers) record(now, opened time.Time, server topo.Server, report proto.Report, requestID string) {
	if report.LeavingProblem != proto.ProblemNone || report.RetryAfterProblem != proto.ProblemNone {
		s.recordProblems(now, server, report, requestID)
	}
	if !report.Leaving && report.RetryAfter <= 0 {
		return
	}
	s.recorded.Store(true) // Before the hold is known, so that no look at it is left out.
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if report.Leaving {
		s.holds.Leave(now, opened, server)
		s.begin(now, observedKey{server: server.ID, born: server.Born, kind: holdLeaving}, requestID, report)
	}
	if report.RetryAfter > 0 {
		s.holds.Pause(now, opened, server, report.RetryAfter)
		s.begin(now, observedKey{server: server.ID, born: server.Born, kind: holdPause}, requestID, report)
	}
}

// begin logs and counts a hold, unless that was done already.
func (s *heldServers) begin(now time.Time, key observedKey, requestID string, report proto.Report) {
	if _, known := s.observed[key]; known {
		return
	}
	s.observed[key] = observedHold{requestID: requestID, began: now}
	s.metrics.holds.WithLabelValues(string(key.kind)).Inc()
	s.metrics.holdsInForce.WithLabelValues(string(key.kind)).Inc()
	log := s.logHold(key, requestID)
	if key.kind == holdPause {
		log = log.WithField("pause", report.RetryAfter.String())
	}
	log.Info("server wants no further requests")
}

func (s *heldServers) logHold(key observedKey, requestID string) *logrus.Entry {
	return s.log.WithField("server", key.server).WithField("born", key.born).WithField("kind", string(key.kind)).
		WithField("request_id", requestID)
}

// observe drops the holds that have ended, given the listed servers, and logs and counts
// their ends.
func (s *heldServers) observe(now time.Time, servers map[string]topo.Server) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.holds.Sweep(now, servers)
	for key, hold := range s.observed {
		leaving, pause := s.holds.State(now, topo.Server{ID: key.server, Born: key.born})
		server, listed := servers[key.server]
		switch {
		case key.kind == holdPause && pause <= 0:
			s.end(now, key, hold, holdEndOver)
			delete(s.observed, key)
		case key.kind == holdLeaving && !leaving:
			s.end(now, key, hold, holdEndGone)
			delete(s.observed, key)
		case listed && server.Born != key.born && s.holds.IsCarried(now, server):
		case listed && server.Born != key.born:
			s.end(now, key, hold, holdEndRestarted)
			delete(s.observed, key)
		case !listed:
			s.end(now, key, hold, holdEndGone)
			hold.unlisted = true
			s.observed[key] = hold
		case hold.unlisted:
			hold.unlisted = false
			s.observed[key] = hold
			s.logHold(key, hold.requestID).Info("server that wants no further requests is listed again")
			s.metrics.holdsInForce.WithLabelValues(string(key.kind)).Inc()
		}
	}
}

// end logs and counts the end of a hold, unless that was done when its server was no
// longer listed.
func (s *heldServers) end(now time.Time, key observedKey, hold observedHold, reason holdEnd) {
	if hold.unlisted {
		return
	}
	s.logHold(key, hold.requestID).WithField("reason", string(reason)).WithField("held_ms", now.Sub(hold.began).Milliseconds()).
		Info("server is no longer held")
	s.metrics.holdsInForce.WithLabelValues(string(key.kind)).Dec()
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

// nextEnd returns the time until the first of the servers wants requests again, 0 if one
// wants them now or none is paused.
func (s *heldServers) nextEnd(now time.Time, servers []topo.Server) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.holds.NextEnd(now, servers)
}
