package httpd

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// maxReadAhead is the size of unread data at which reading ahead pauses. During the
// pause a disconnect isn't noticed.
const maxReadAhead = 64 << 10

// readAheadConn reads from the connection before Read asks for data. This detects
// that the caller has closed the connection while a request is being handled, even
// if pipelined requests follow it.
type readAheadConn struct {
	net.Conn

	mutex        sync.Mutex
	changed      *sync.Cond
	unread       []byte
	err          error
	deadline     time.Time
	timer        *time.Timer
	closed       error
	onDisconnect context.CancelCauseFunc
	readLoopDone chan struct{}
}

func newReadAheadConn(conn net.Conn) *readAheadConn {
	c := &readAheadConn{Conn: conn, readLoopDone: make(chan struct{})}
	c.changed = sync.NewCond(&c.mutex)
	go c.readLoop()
	return c
}

// readLoop reads until the connection fails or is closed.
func (c *readAheadConn) readLoop() {
	defer close(c.readLoopDone)
	buffer := make([]byte, 4<<10)
	for {
		count, err := c.Conn.Read(buffer)
		if !c.push(buffer[:count], err) {
			return
		}
	}
}

// push stores the result of a read, blocks while there is too much unread data,
// and reports whether to continue reading.
func (c *readAheadConn) push(data []byte, err error) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unread = append(c.unread, data...)
	if err != nil {
		c.err = err
		if c.onDisconnect != nil {
			c.onDisconnect(c.endCause())
		}
	}
	c.changed.Broadcast()
	for c.err == nil && len(c.unread) >= maxReadAhead {
		c.changed.Wait()
	}
	return c.err == nil
}

// setOnDisconnect sets the function that is called when the caller's connection
// ends, or calls it at once if the connection has ended already.
func (c *readAheadConn) setOnDisconnect(onDisconnect context.CancelCauseFunc) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.onDisconnect = onDisconnect
	if c.err != nil {
		onDisconnect(c.endCause())
	}
}

// endCause returns why the connection ended.
func (c *readAheadConn) endCause() error {
	if c.closed != nil {
		return c.closed
	}
	return ErrCallerLeft
}

// closeFor closes the connection for a cause.
func (c *readAheadConn) closeFor(cause error) {
	c.mutex.Lock()
	if c.closed == nil && c.err == nil {
		c.closed = cause
	}
	c.mutex.Unlock()
	_ = c.Close()
}

// Read returns data that was read ahead, or blocks until there is some.
func (c *readAheadConn) Read(data []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(c.unread) == 0 {
		switch {
		case c.err != nil:
			return 0, c.err
		case c.deadlineExceeded(time.Now()):
			return 0, os.ErrDeadlineExceeded
		}
		c.changed.Wait()
	}
	count := copy(data, c.unread)
	c.unread = c.unread[count:]
	if len(c.unread) == 0 {
		c.unread = nil
	}
	c.changed.Broadcast()
	return count, nil
}

func (c *readAheadConn) deadlineExceeded(now time.Time) bool {
	return !c.deadline.IsZero() && !now.Before(c.deadline)
}

// SetReadDeadline sets the deadline of Read. Reading ahead has no deadline.
func (c *readAheadConn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = deadline
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if left := time.Until(deadline); !deadline.IsZero() && left > 0 {
		c.timer = time.AfterFunc(left, c.wakeReaders)
	}
	c.changed.Broadcast()
	return nil
}

// SetDeadline sets the deadline of Read and Write.
func (c *readAheadConn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// Close closes the connection and waits for the read loop to end.
func (c *readAheadConn) Close() error {
	c.mutex.Lock()
	if c.closed == nil && c.err == nil {
		c.closed = ErrServerClosed
	}
	c.mutex.Unlock()
	err := c.Conn.Close()
	c.mutex.Lock()
	if c.err == nil {
		c.err = io.EOF
	}
	c.changed.Broadcast()
	c.mutex.Unlock()
	<-c.readLoopDone
	return err
}

// wakeReaders makes blocked calls of Read check the deadline.
func (c *readAheadConn) wakeReaders() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.changed.Broadcast()
}
