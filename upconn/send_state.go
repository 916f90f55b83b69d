package upconn

import (
	"net"
	"sync"
)

// sendState tracks whether any byte of a request may have left. A write in progress
// counts as one that has sent bytes, because a response may arrive before it
// returns.
type sendState struct {
	mutex   sync.Mutex
	sent    bool
	writing bool
}

func (s *sendState) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sent, s.writing = false, false
}

// mayHaveLeft reports whether any byte may have left.
func (s *sendState) mayHaveLeft() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.sent || s.writing
}

func (s *sendState) begin() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writing = true
}

func (s *sendState) end(count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sent = s.sent || count > 0
	s.writing = false
}

// trackingWriter writes to a connection and tracks whether bytes have left.
type trackingWriter struct {
	conn net.Conn
	sent *sendState
}

// Write implements io.Writer.
func (w trackingWriter) Write(data []byte) (int, error) {
	w.sent.begin()
	count, err := w.conn.Write(data)
	w.sent.end(count)
	return count, err
}
