package httpd

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// maxAhead is how much is read from a caller before its requests are taken.
const maxAhead = 64 << 10

// eagerConn reads ahead of its reader, so that a caller's close is noticed while
// a request is being answered, even with further requests behind it.
type eagerConn struct {
	net.Conn

	mutex    sync.Mutex
	changed  *sync.Cond
	ahead    []byte
	err      error
	deadline time.Time
	timer    *time.Timer
	gone     context.CancelFunc
	ended    chan struct{}
}

func newEagerConn(conn net.Conn) *eagerConn {
	c := &eagerConn{Conn: conn, ended: make(chan struct{})}
	c.changed = sync.NewCond(&c.mutex)
	go c.run()
	return c
}

// run reads until the connection ends.
func (c *eagerConn) run() {
	defer close(c.ended)
	buffer := make([]byte, 4<<10)
	for {
		count, err := c.Conn.Read(buffer)
		if !c.add(buffer[:count], err) {
			return
		}
	}
}

// add takes what was read, waits for room, and reports whether to read on.
func (c *eagerConn) add(data []byte, err error) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ahead = append(c.ahead, data...)
	if err != nil {
		c.err = err
		if c.gone != nil {
			c.gone()
		}
	}
	c.changed.Broadcast()
	for c.err == nil && len(c.ahead) >= maxAhead {
		c.changed.Wait()
	}
	return c.err == nil
}

// onGone registers a call for the end of the caller's connection.
func (c *eagerConn) onGone(gone context.CancelFunc) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.gone = gone
	if c.err != nil {
		gone()
	}
}

// Read returns what was read ahead, or waits for more.
func (c *eagerConn) Read(data []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(c.ahead) == 0 {
		switch {
		case c.err != nil:
			return 0, c.err
		case c.expired(time.Now()):
			return 0, os.ErrDeadlineExceeded
		}
		c.changed.Wait()
	}
	count := copy(data, c.ahead)
	c.ahead = c.ahead[count:]
	if len(c.ahead) == 0 {
		c.ahead = nil
	}
	c.changed.Broadcast()
	return count, nil
}

func (c *eagerConn) expired(now time.Time) bool {
	return !c.deadline.IsZero() && !now.Before(c.deadline)
}

// SetReadDeadline bounds Read, not the reading ahead.
func (c *eagerConn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = deadline
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if left := time.Until(deadline); !deadline.IsZero() && left > 0 {
		c.timer = time.AfterFunc(left, c.wake)
	}
	c.changed.Broadcast()
	return nil
}

// SetDeadline bounds Read and Write.
func (c *eagerConn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// Close closes the connection and waits for the end of reading ahead.
func (c *eagerConn) Close() error {
	err := c.Conn.Close()
	c.mutex.Lock()
	if c.err == nil {
		c.err = io.EOF
	}
	c.changed.Broadcast()
	c.mutex.Unlock()
	<-c.ended
	return err
}

func (c *eagerConn) wake() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.changed.Broadcast()
}
