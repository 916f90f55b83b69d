package grant

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/broker"
	"dandeliondoor/wire"
)

// reclaimPeriod is the time that an entry has to report its grants over a new
// connection after the old one ended. Grants not reported by then are freed.
const reclaimPeriod = time.Second

var (
	errPoolNotDeclared = errors.New("pool is not declared")
	errSessionEnded    = errors.New("connection ended")
)

// receiver serves the net/rpc calls of one connection.
type receiver struct {
	service   *Service
	session   *wire.Session
	watchOnce sync.Once
}

// Receivers returns the net/rpc receiver for calls from entries and other brokers
// over a connection.
func (s *Service) Receivers(session *wire.Session) []wire.Receiver {
	return []wire.Receiver{{Name: receiverName, Methods: &receiver{service: s, session: session}}}
}

// Ask passes an ask to its pool and waits for the decision.
func (r *receiver) Ask(request AskRequest, reply *AskReply) error {
	r.watchOnce.Do(func() { r.service.watchSession(r.session) })
	request.Ask.Session = r.session.ID
	replies, err := r.service.ask(time.Now(), request)
	if err != nil {
		return err
	}
	select {
	case *reply = <-replies:
	case <-r.session.Ended():
		r.service.cancel(time.Now(), CancelRequest{Pool: request.Pool, ID: request.Ask.ID})
		return errSessionEnded
	}
	if reply.OutVersion == request.OutVersion {
		reply.Out = nil
	}
	return nil
}

// Release ends a grant and records the result of its request.
func (r *receiver) Release(request ReleaseRequest, _ *Empty) error {
	r.service.release(time.Now(), request)
	return nil
}

// Cancel withdraws an ask or ends its grant.
func (r *receiver) Cancel(request CancelRequest, _ *Empty) error {
	r.service.cancel(time.Now(), request)
	return nil
}

// Hand receives the grants in use from the previous broker of a pool.
func (r *receiver) Hand(request HandRequest, _ *Empty) error {
	r.service.receiveHandover(time.Now(), request)
	return nil
}

// Hint receives the load of a sibling pool.
func (r *receiver) Hint(request HintRequest, _ *Empty) error {
	r.service.applyHint(request)
	return nil
}

// Learn receives the standing of a request fingerprint from a sibling pool.
func (r *receiver) Learn(request LearnRequest, _ *Empty) error {
	r.service.applyFingerprint(request)
	return nil
}

func (s *Service) ask(now time.Time, request AskRequest) (<-chan AskReply, error) {
	r, declared := s.ensureRunner(now, request.Pool)
	if !declared {
		return nil, errPoolNotDeclared
	}
	request.Ask.Limit = accountLimit(s.tables.Table(), request.Pool, request.Ask.Account)
	return r.ask(now, request), nil
}

func (s *Service) release(now time.Time, request ReleaseRequest) {
	if r, known := s.findRunner(request.Pool); known {
		r.release(now, request.Release)
	}
	s.forwardRelease(request)
}

func (s *Service) cancel(now time.Time, request CancelRequest) {
	if r, known := s.findRunner(request.Pool); known {
		r.cancel(now, request.ID)
	}
}

// endedSession is an ended connection whose grants can still be reported over a new
// one.
type endedSession struct {
	id uint64
	at time.Time
}

// watchSession cleans up when a connection ends: it drops queued asks at once, and
// schedules the grants to be freed after reclaimPeriod unless the entry reports them
// over a new connection.
func (s *Service) watchSession(session *wire.Session) {
	session.OnEnd(func() {
		now := time.Now()
		for _, r := range s.allRunners() {
			r.update(func(pool *broker.Pool) []broker.Action {
				return pool.RemoveSessionAsks(now, session.ID)
			})
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.endedSessions = append(s.endedSessions, endedSession{id: session.ID, at: now})
	})
}

// freeEndedSessions frees the grants of ended connections that were not reported
// over a new connection within reclaimPeriod.
func (s *Service) freeEndedSessions(now time.Time) {
	for _, session := range s.takeExpiredSessions(now) {
		for _, r := range s.allRunners() {
			r.update(func(pool *broker.Pool) []broker.Action {
				return pool.ReleaseSessionGrants(now, session)
			})
		}
	}
}

// takeExpiredSessions removes and returns the IDs of the connections that ended at
// least reclaimPeriod ago.
func (s *Service) takeExpiredSessions(now time.Time) []uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var expired []uint64
	for len(s.endedSessions) > 0 && now.Sub(s.endedSessions[0].at) >= reclaimPeriod {
		expired = append(expired, s.endedSessions[0].id)
		s.endedSessions = s.endedSessions[1:]
	}
	return expired
}
