package grant

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/wire"
)

// entryGrace is how long a broker keeps the grants of an entry after the last
// of its connections ended, for it may come back.
const entryGrace = time.Second

var errNoPool = errors.New("pool is not declared")

// receiver serves the calls of one connection.
type receiver struct {
	service *Service
	session *wire.Session
	named   sync.Once
}

// Receivers serves the calls of entries and of sibling brokers.
func (s *Service) Receivers(session *wire.Session) []wire.Receiver {
	return []wire.Receiver{{Name: receiverName, Methods: &receiver{service: s, session: session}}}
}

// Ask waits for the decision on an ask.
func (r *receiver) Ask(request AskRequest, reply *AskReply) error {
	r.named.Do(func() { r.service.entryCame(request.Ask.ID.Entry, r.session) })
	decided, err := r.service.ask(time.Now(), request)
	if err != nil {
		return err
	}
	*reply = <-decided
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
}

func (s *Service) cancel(now time.Time, request CancelRequest) {
	if r, known := s.find(request.Pool); known {
		r.cancel(now, request.ID)
	}
}

// entryCame counts the connections of an entry, and frees what it holds some
// time after the last one ended.
func (s *Service) entryCame(entry string, session *wire.Session) {
	s.mutex.Lock()
	s.entries[entry]++
	s.mutex.Unlock()
	session.OnEnd(func() {
		s.mutex.Lock()
		s.entries[entry]--
		gone := s.entries[entry] == 0
		s.mutex.Unlock()
		if gone {
			time.AfterFunc(entryGrace, func() { s.entryGone(entry) })
		}
	})
}

func (s *Service) entryGone(entry string) {
	s.mutex.Lock()
	back := s.entries[entry] > 0
	if !back {
		delete(s.entries, entry)
	}
	s.mutex.Unlock()
	if back {
		return
	}
	for _, r := range s.allRunners() {
		r.entryGone(time.Now(), entry)
	}
}
