package httpd

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/dialer"
	"dandeliondoor/quota"
)

// Times of a connection that is closed behind a response.
const (
	// deliveryTimeout is how long the response may be on its way to the caller.
	deliveryTimeout  = 5 * time.Second
	deliveryInterval = 20 * time.Millisecond
	// lingerTimeout is how long the caller may take after that to close the connection,
	// too.
	lingerTimeout = 500 * time.Millisecond
)

// maxReadAhead is the size of unread data at which reading ahead pauses. During the
// pause a disconnect isn't noticed.
const maxReadAhead = 64 << 10

// freeReadAhead is the size of unread data up to which reading ahead takes nothing of the
// quota. Beyond, it pauses also while the quota is used up.
const freeReadAhead = 4 << 10

// callerConn is the connection of a caller. It knows whether a byte has come since the
// last response, and closes itself for want of a request only if none has: that decision
// and the close are one step under its mutex. net/http calls a connection idle until it
// has parsed the whole head of the next request.
//
// With read-ahead, it reads from the network before Read asks for data. This detects
// that the caller has closed the connection while a request is being handled, even if
// pipelined requests follow it.
type callerConn struct {
	net.Conn

	readLoopDone chan struct{}
	ahead        *quota.Quota

	mutex        sync.Mutex
	changed      *sync.Cond
	parser       framingParser
	unread       []byte
	reserved     int64
	headBytes    int64
	headReserved int64
	err          error
	deadline     time.Time
	timer        *time.Timer
	onDisconnect context.CancelCauseFunc
	closeCause   error

	sent         bool
	rejected     bool
	announced    bool
	lingering    bool
	handled      int
	finished     int
	waitingSince time.Time
	headSince    time.Time
	idleLimit    time.Duration
}

func newCallerConn(now time.Time, conn net.Conn, readAhead bool, ahead *quota.Quota, idHeader string) *callerConn {
	c := &callerConn{Conn: conn, waitingSince: now, ahead: ahead}
	c.parser.idHeader = idHeader
	c.changed = sync.NewCond(&c.mutex)
	if readAhead {
		c.readLoopDone = make(chan struct{})
		go c.readLoop()
	}
	return c
}

// readLoop reads until the connection fails or is closed.
func (c *callerConn) readLoop() {
	defer close(c.readLoopDone)
	defer c.release()
	buffer := make([]byte, freeReadAhead)
	for {
		if _, err := receive(c.Conn, &c.mutex, buffer, c.push); err != nil {
			return
		}
		c.waitForSpace()
	}
}

// push stores the result of a read. It drops what comes after the end.
func (c *callerConn) push(data []byte, err error) {
	if c.err != nil {
		return
	}
	c.unread = append(c.unread, data...)
	if err != nil {
		c.end(err)
	}
	c.changed.Broadcast()
}

// waitForSpace blocks while there is too much unread data.
func (c *callerConn) waitForSpace() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for c.err == nil && !c.reserve() {
		c.changed.Wait()
	}
}

// reserve reports whether more may be read ahead, and takes the unread data from the quota.
// The last buffers are part of it, since they are copied as the data grows.
func (c *callerConn) reserve() bool {
	size := len(c.unread)
	if size < freeReadAhead {
		return true
	}
	if more := int64(cap(c.unread)) - c.reserved; more > 0 && size < maxReadAhead {
		if !c.ahead.Take(more) {
			return false
		}
		c.reserved += more
	}
	return size < maxReadAhead
}

// release returns what the connection has taken from the quota.
func (c *callerConn) release() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ahead.Give(c.reserved + c.headReserved)
	c.reserved, c.headReserved = 0, 0
}

// headCopies is how many times the bytes of a head are in memory while net/http parses it.
const headCopies = 2

// reserveHead takes the memory of an incomplete head that is longer than usual from the
// quota, and reports whether there was enough.
func (c *callerConn) reserveHead() bool {
	more := headCopies*c.headBytes - c.headReserved
	if c.headBytes <= freeReadAhead || more <= 0 {
		return true
	}
	if !c.ahead.Take(more) {
		return false
	}
	c.headReserved += more
	return true
}

// end records that the connection ended, and tells the handler of a request why.
func (c *callerConn) end(err error) {
	c.err = err
	if c.onDisconnect != nil {
		c.onDisconnect(c.endCause())
	}
	c.changed.Broadcast()
}

func (c *callerConn) endCause() error {
	if c.closeCause != nil {
		return c.closeCause
	}
	return ErrCallerLeft
}

// setOnDisconnect sets the function that is called when the connection ends, or calls
// it at once if that has happened already.
func (c *callerConn) setOnDisconnect(onDisconnect context.CancelCauseFunc) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.onDisconnect = onDisconnect
	if c.err != nil {
		onDisconnect(c.endCause())
	}
}

// Read implements net.Conn.
func (c *callerConn) Read(data []byte) (int, error) {
	if c.readLoopDone == nil {
		return c.readDirectly(data)
	}
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
		c.ahead.Give(c.reserved)
		c.reserved = 0
	}
	c.parse(time.Now(), data[:count])
	c.changed.Broadcast()
	if !c.reserveHead() {
		// The request has not been read, so that the caller may send it again.
		c.closeFor(ErrServerClosed)
		return 0, c.err
	}
	return count, nil
}

func (c *callerConn) readDirectly(data []byte) (int, error) {
	var endErr error
	count, err := receive(c.Conn, &c.mutex, data, func(read []byte, _ error) {
		if endErr = c.err; endErr == nil {
			c.parse(time.Now(), read)
		}
	})
	if endErr != nil {
		return 0, endErr
	}
	return count, err
}

// parse processes data that net/http gets.
func (c *callerConn) parse(now time.Time, data []byte) {
	wasInHead, heads := c.parser.inHead, c.parser.heads
	c.parser.parse(data)
	switch {
	case !c.parser.inHead:
		c.headBytes = 0
		c.ahead.Give(c.headReserved)
		c.headReserved = 0
	case !wasInHead, c.parser.heads > heads:
		c.headSince, c.headBytes = now, int64(len(data))
	default:
		c.headBytes += int64(len(data))
	}
}

// Write implements net.Conn. It sends nothing once the connection is being closed: net/http
// would respond 400 to a head that breaks off because of that.
func (c *callerConn) Write(data []byte) (int, error) {
	c.mutex.Lock()
	closed := c.closeCause != nil
	c.sent = true
	if c.handled == c.finished {
		// No request is being handled: net/http rejects one.
		c.rejected = true
	}
	c.mutex.Unlock()
	if closed {
		return 0, errClosed
	}
	return c.Conn.Write(data)
}

func (c *callerConn) deadlineExceeded(now time.Time) bool {
	return !c.deadline.IsZero() && !now.Before(c.deadline)
}

// SetReadDeadline sets the deadline of Read. Reading ahead has no deadline.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	if c.readLoopDone == nil {
		return c.Conn.SetReadDeadline(deadline)
	}
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
func (c *callerConn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// wakeReaders makes blocked calls of Read check the deadline.
func (c *callerConn) wakeReaders() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.changed.Broadcast()
}

// Close closes the connection and waits for the read loop to end. It lingers behind what
// has been sent, unless the connection has ended already.
func (c *callerConn) Close() error {
	c.mutex.Lock()
	lingers := c.err == nil && c.sent
	c.lingering = lingers
	c.closeFor(ErrServerClosed)
	c.mutex.Unlock()
	if lingers {
		c.linger(time.Now())
	}
	err := c.Conn.Close()
	if c.readLoopDone != nil {
		<-c.readLoopDone
	}
	return err
}

// linger closes the sending half and drops what the caller still sends, until it closes
// the connection, too. Bytes that arrive at a closed connection would reset it, which
// could destroy a response on its way.
func (c *callerConn) linger(now time.Time) {
	if c.closeWrite() != nil {
		return
	}
	for end := now.Add(deliveryTimeout); !delivered(c.Conn) && time.Now().Before(end); {
		if c.dropInput(deliveryInterval) {
			return
		}
	}
	c.dropInput(lingerTimeout)
}

// dropInput drops what comes during a period. It reports whether the connection ended.
func (c *callerConn) dropInput(period time.Duration) bool {
	if c.readLoopDone == nil {
		if c.Conn.SetReadDeadline(time.Now().Add(period)) != nil {
			return true
		}
		_, err := io.Copy(io.Discard, c.Conn)
		return !errors.Is(err, os.ErrDeadlineExceeded)
	}
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-c.readLoopDone:
		return true
	case <-timer.C:
		return false
	}
}

// closeFor marks the connection as closed for a cause, unless it has ended already.
func (c *callerConn) closeFor(cause error) {
	if c.err != nil {
		return
	}
	c.closeCause = cause
	c.end(errClosed)
}

// abort closes the connection so that it is reset.
func (c *callerConn) abort() error {
	c.endNow()
	if tcp, isTCP := c.Conn.(*net.TCPConn); isTCP {
		// Without lingering, closing a connection resets it.
		if err := tcp.SetLinger(0); err != nil {
			_ = c.Close()
			return err
		}
	}
	return c.Close()
}

// stopBody ends the reading of a request body. When a handler panics, net/http would first
// read the rest of the body, however long that takes, and then close the connection.
func (c *callerConn) stopBody() { _ = c.SetReadDeadline(time.Unix(1, 0)) }

// endNow ends the connection, which then doesn't linger when it is closed.
func (c *callerConn) endNow() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closeFor(ErrServerClosed)
}

// beginRequest records that a request is passed to the handler.
func (c *callerConn) beginRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.handled++
	c.parser.forget(c.handled)
}

// endRequest records that a request has been handled; closes is set if the response says
// that the connection is closed behind it.
func (c *callerConn) endRequest(closes bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.announced = closes
}

// framing returns the framing of the request that is being handled. Parsing stops at a
// chunked request, so that is the last one whose head has been parsed. Of HTTP/1.0, net/http
// does not call it chunked.
func (c *callerConn) framing(chunked bool) Framing {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.parser.stopped || (!chunked && c.parser.heads > c.handled) {
		return Framing{}
	}
	return Framing{Ambiguous: c.parser.ambiguous, Chunked: true}
}

// bodyIncomplete reports whether the body of the request that is being handled has not
// been read to its end, or has no known end since it is chunked.
func (c *callerConn) bodyIncomplete() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.parser.heads == c.handled && (c.parser.stopped || c.parser.bodyRemaining > int64(len(c.unread)))
}

// hasSentAll reports whether no response is left to be sent: the connection only waits for
// the caller to close it, or has been closed while it waited for a request.
func (c *callerConn) hasSentAll() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lingering || (c.closeCause != nil && c.parser.heads == c.finished)
}

// hasNext reports whether the whole head of a further request has been read.
func (c *callerConn) hasNext() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.parser.with(c.unread).heads > c.handled
}

// finishResponse records that a response is complete. The idle limit in force at that
// time holds until the next response.
func (c *callerConn) finishResponse(now time.Time, idleLimit time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.finished++
	c.waitingSince, c.idleLimit = now, idleLimit
}

// unhandled returns the requests of which the whole head has been read and that were never
// passed to the handler nor rejected, and why the connection ended.
func (c *callerConn) unhandled() Unhandled {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	answered := c.handled
	if c.rejected {
		answered++
	}
	ahead := c.parser.with(c.unread)
	ahead.forget(answered)
	cause := c.endCause()
	switch {
	case c.announced || c.rejected:
		cause = ErrBehindLast
	case c.err == nil:
		// The handler has taken over the connection, to reset it.
		cause = ErrServerClosed
	}
	return Unhandled{Count: max(ahead.heads-answered, 0), IDs: ahead.ids, Cause: cause}
}

// isWaiting reports whether all requests have been answered and no byte of another one
// has been read.
func (c *callerConn) isWaiting() bool {
	return c.err == nil && len(c.unread) == 0 && c.parser.betweenRequests() && c.parser.heads == c.finished
}

// isWaitingForHead reports whether all requests have been answered and a part of the head
// of another one has been read.
func (c *callerConn) isWaitingForHead() bool {
	return c.err == nil && len(c.unread) == 0 && c.parser.inHead && c.parser.heads == c.finished
}

// isDelivering reports whether the last response may still be on its way.
func (c *callerConn) isDelivering(now time.Time) bool {
	return now.Sub(c.waitingSince) < deliveryTimeout && !delivered(c.Conn)
}

// closeExpired closes the connection if it has waited for a request, or for the rest of
// a head, longer than the limits allow.
func (c *callerConn) closeExpired(now time.Time, limits Limits) {
	c.closeIf(func() error {
		switch {
		case c.isWaiting() && c.finished == 0 && now.Sub(c.waitingSince) > limits.HeaderTimeout:
			return ErrHeaderTimeout
		case c.isWaiting() && c.finished > 0 && now.Sub(c.waitingSince) > max(limits.IdleTimeout, c.idleLimit) && !c.isDelivering(now):
			return ErrIdle
		case c.isWaitingForHead() && now.Sub(c.headSince) > limits.HeaderTimeout:
			return ErrHeaderTimeout
		default:
			return nil
		}
	})
}

// closeWaiting closes the connection if it waits for a request. A new one is given some
// time for its first request, and one with a response on its way for that.
func (c *callerConn) closeWaiting(now time.Time, newConnGrace time.Duration) {
	c.closeIf(func() error {
		switch {
		case !c.isWaiting(), c.isDelivering(now):
			return nil
		case c.finished == 0 && now.Sub(c.waitingSince) < newConnGrace:
			return nil
		default:
			return ErrServerClosed
		}
	})
}

// closeIf closes the connection if due returns a cause and nothing is left to be read
// from the network.
func (c *callerConn) closeIf(due func() error) {
	c.mutex.Lock()
	cause := due()
	if cause == nil || !dialer.Quiet(c.Conn) {
		c.mutex.Unlock()
		return
	}
	c.closeFor(cause)
	c.mutex.Unlock()
	// The caller should learn of the close at once; Close takes effect only when the
	// read loop has let go of the descriptor.
	_ = c.closeWrite()
	// net/http closes the connection again when its next read fails.
	_ = c.Conn.Close()
}

// errClosed is the error of reads from a connection that this daemon has closed. net/http
// sends no response on errors of this type; after io.EOF within a head it would send 400.
var errClosed = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

var errNoHalfClose = errors.New("connection has no half-close")

// closeWrite closes the sending half of the connection.
func (c *callerConn) closeWrite() error {
	if sender, isSender := c.Conn.(interface{ CloseWrite() error }); isSender {
		return sender.CloseWrite()
	}
	return errNoHalfClose
}
