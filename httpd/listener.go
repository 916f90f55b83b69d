package httpd

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"dandeliondoor/kernel"
	"dandeliondoor/quota"
)

// pendingTimeout limits each wait for a connection that is pending while a listener is
// stopped.
const pendingTimeout = 10 * time.Millisecond

var errNoDeadline = errors.New("listener has no deadline")

// callerListener wraps accepted connections in a callerConn. Once it is stopped, it
// accepts what the kernel still holds for it, and then closes: closing at once would
// reset these connections, whose requests may have arrived.
type callerListener struct {
	net.Listener

	readAhead bool
	ahead     *quota.Quota
	idHeader  string
	stopped   atomic.Bool
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			return newCallerConn(time.Now(), conn, l.readAhead, l.ahead, l.idHeader), nil
		case kernel.Exhausted(err):
			return nil, exhaustedError{err}
		case !l.stopped.Load() || !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case !l.hasPending():
			return nil, errors.Join(net.ErrClosed, l.Close())
		}
		if err := l.setDeadline(time.Now().Add(pendingTimeout)); err != nil {
			return nil, err
		}
	}
}

// exhaustedError is an error of accept after which net/http accepts again, with a delay.
// By itself it does so for some of these errors only.
type exhaustedError struct{ error }

var _ net.Error = exhaustedError{}

// Unwrap returns the error of accept.
func (e exhaustedError) Unwrap() error { return e.error }

// Timeout implements net.Error.
func (e exhaustedError) Timeout() bool { return false }

// Temporary implements net.Error.
func (e exhaustedError) Temporary() bool { return true }

// stop makes Accept return the connections that are pending, and then net.ErrClosed.
func (l *callerListener) stop() error {
	l.stopped.Store(true)
	// A blocked Accept returns at once.
	if err := l.setDeadline(time.Unix(1, 0)); !errors.Is(err, errNoDeadline) {
		return err
	}
	return l.Close()
}

func (l *callerListener) setDeadline(deadline time.Time) error {
	limited, hasDeadline := l.Listener.(interface {
		SetDeadline(deadline time.Time) error
	})
	if !hasDeadline {
		return errNoDeadline
	}
	return limited.SetDeadline(deadline)
}

// hasPending reports whether the kernel holds a connection that has not been accepted.
func (l *callerListener) hasPending() bool {
	socket, hasSocket := l.Listener.(syscall.Conn)
	if !hasSocket {
		return false
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = rawConn.Control(func(descriptor uintptr) {
		for pollErr := error(unix.EINTR); errors.Is(pollErr, unix.EINTR); {
			ready, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}, 0)
		}
	})
	return err == nil && ready > 0
}

// connKey is the context key of the callerConn of a request.
type connKey struct{}

// withConn adds the connection to the context and cancels the context when the
// connection ends.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	caller, isCaller := conn.(*callerConn)
	if !isCaller {
		return ctx
	}
	ctx, cancel := context.WithCancelCause(context.WithValue(ctx, connKey{}, caller))
	caller.setOnDisconnect(cancel)
	return ctx
}

// connOf returns the connection of a request, or nil.
func connOf(ctx context.Context) *callerConn {
	caller, _ := ctx.Value(connKey{}).(*callerConn)
	return caller
}
