package grant

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/broker"
	"dandeliondoor/wire"
)

// claimPeriod is how long an entry may claim its grants over a new connection
// after the old one ended.
const claimPeriod = time.Second

var (
	errNoPool       = errors.New("pool is not declared")
	errSessionEnded = errors.New("connection ended")
)

// receiver serves the calls of one connection.
type receiver struct {
	service *Service
	session *wire.Session
	watched sync.Once
}

// Receivers serves the calls of entries and of sibling brokers.
func (s *Service) Receivers(session *wire.Session) []wire.Receiver {
	return []wire.Receiver{{Name: receiverName, Methods: &receiver{service: s, session: session}}}
}

// Ask waits for the decision on an ask.
func (r *receiver) Ask(request AskRequest, reply *AskReply) error {
	r.watched.Do(func() { r.service.watch(r.session) })
	request.Ask.Session = r.session.ID
	decided, err := r.service.ask(time.Now(), request)
	if err != nil {
		return err
	}
	select {
	case *reply = <-decided:
	case <-r.session.Ended():
		r.service.cancel(time.Now(), CancelRequest{Pool: request.Pool, ID: request.Ask.ID})
		return errSessionEnded
	}
	if reply.OutVersion == request.OutVersion {
		reply.Out = nil
	}
	return nil
}

// Release ends a grant.
func (r *receiver) Release(request ReleaseRequest, _ *Empty) error {
	r.service.release(time.Now(), request)
	return nil
}

// Cancel ends an ask or a grant.
func (r *receiver) Cancel(request CancelRequest, _ *Empty) error {
	r.service.cancel(time.Now(), request)
	return nil
}

// Hand takes a pool over.
func (r *receiver) Hand(request HandRequest, _ *Empty) error {
	r.service.takeHand(time.Now(), request)
	return nil
}

// Hint takes the hint of a sibling pool.
func (r *receiver) Hint(request HintRequest, _ *Empty) error {
	r.service.takeHint(request)
	return nil
}

// Learn takes the standing of a fingerprint.
func (r *receiver) Learn(request LearnRequest, _ *Empty) error {
	r.service.learn(request)
	return nil
}

func (s *Service) ask(now time.Time, request AskRequest) (<-chan AskReply, error) {
	r, declared := s.runnerFor(now, request.Pool)
	if !declared {
		return nil, errNoPool
	}
	request.Ask.Limit = limitOf(s.tables.Table(), request.Pool, request.Ask.Account)
	return r.ask(now, request), nil
}

func (s *Service) release(now time.Time, request ReleaseRequest) {
	if r, known := s.find(request.Pool); known {
		r.release(now, request.Release)
	}
	s.passOn(request)
}

func (s *Service) cancel(now time.Time, request CancelRequest) {
	if r, known := s.find(request.Pool); known {
		r.cancel(now, request.ID)
	}
}

// goneSession is an ended connection whose grants may still be claimed.
type goneSession struct {
	session uint64
	at      time.Time
}

// watch frees what came over a connection once that ends: asks at once, and
// grants some time later, unless the entry claims them over a new connection.
func (s *Service) watch(session *wire.Session) {
	session.OnEnd(func() {
		now := time.Now()
		for _, r := range s.allRunners() {
			r.do(func(pool *broker.Pool) []broker.Action {
				return pool.SessionEnded(now, session.ID)
			})
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.gone = append(s.gone, goneSession{session: session.ID, at: now})
	})
}

// freeGone frees the grants that were not claimed in time.
func (s *Service) freeGone(now time.Time) {
	for _, session := range s.takeGone(now) {
		for _, r := range s.allRunners() {
			r.do(func(pool *broker.Pool) []broker.Action {
				return pool.SessionGone(now, session)
			})
		}
	}
}

// takeGone removes and returns the connections that ended long enough ago.
func (s *Service) takeGone(now time.Time) []uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var taken []uint64
	for len(s.gone) > 0 && now.Sub(s.gone[0].at) >= claimPeriod {
		taken = append(taken, s.gone[0].session)
		s.gone = s.gone[1:]
	}
	return taken
}
