package upconn

import (
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// errSealed reports a write that was begun after the attempt had failed.
var errSealed = errors.New("request has been abandoned")

// sendState tracks whether any byte of one request may have left, and the first error of
// a write. A write in progress counts as one that has sent bytes, because a response may
// arrive before it returns. The writer runs beside the reader, so that nothing has left is
// only final if no later write may begin: seal decides both at once.
type sendState struct {
	mutex   sync.Mutex
	ended   *sync.Cond
	sent    bool
	writing bool
	sealed  bool
	err     error
}

func newSendState() *sendState {
	s := &sendState{}
	s.ended = sync.NewCond(&s.mutex)
	return s
}

// seal forbids writes that have not begun yet and reports whether any byte may have left.
func (s *sendState) seal() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sealed = true
	return s.sent || s.writing
}

// sealUnsent reports whether no byte can have left, and forbids later writes if so.
func (s *sendState) sealUnsent() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.sent || s.writing {
		return false
	}
	s.sealed = true
	return true
}

// begin reports whether a write may begin now.
func (s *sendState) begin() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writing = !s.sealed
	return s.writing
}

// end records the result of a write.
func (s *sendState) end(count int, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sent = s.sent || count > 0
	s.writing = false
	if s.err == nil {
		s.err = err
	}
	s.ended.Broadcast()
}

// writeError waits until no write is in progress and returns the first error of a write.
func (s *sendState) writeError() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for s.writing {
		s.ended.Wait()
	}
	return s.err
}

// trackingWriter writes to a connection and tracks whether bytes have left.
type trackingWriter struct {
	conn net.Conn
	sent *sendState
}

// Write implements io.Writer. It writes nothing once the state is sealed.
func (w trackingWriter) Write(data []byte) (int, error) {
	if !w.sent.begin() {
		return 0, errSealed
	}
	count, err := w.conn.Write(data)
	w.sent.end(count, err)
	return count, err
}
