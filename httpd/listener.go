package httpd

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/kernel"
)

// callerListener wraps accepted connections in a callerConn. Once it is stopped, it
// accepts what the kernel still holds for it, and then closes: closing at once would
// reset these connections, whose requests may have arrived.
type callerListener struct {
	net.Listener

	readAhead bool
	idHeader  string
	stopped   atomic.Bool
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if l.stopped.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		conn, err = l.acceptPending()
	}
	switch {
	case err == nil:
		return newCallerConn(time.Now(), conn, l.readAhead, l.idHeader), nil
	case kernel.Exhausted(err):
		return nil, exhaustedError{err}
	default:
		return nil, err
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
	limited, hasDeadline := l.Listener.(interface {
		SetDeadline(deadline time.Time) error
	})
	if _, hasSocket := l.Listener.(syscall.Conn); !hasSocket || !hasDeadline {
		return l.Close()
	}
	return limited.SetDeadline(time.Unix(1, 0)) // A blocked Accept returns at once.
}

// acceptPending returns a connection that is pending. If there is none, it closes the
// listener and returns net.ErrClosed.
func (l *callerListener) acceptPending() (net.Conn, error) {
	socket, hasSocket := l.Listener.(syscall.Conn)
	if !hasSocket {
		return nil, net.ErrClosed
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	var descriptor int
	var acceptErr error
	if err := rawConn.Control(func(listener uintptr) { descriptor, acceptErr = acceptSocket(int(listener)) }); err != nil {
		return nil, err
	}
	switch {
	case errors.Is(acceptErr, syscall.EAGAIN):
		if err := l.Close(); err != nil {
			return nil, err
		}
		return nil, net.ErrClosed
	case acceptErr != nil:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", acceptErr)}
	}
	file := os.NewFile(uintptr(descriptor), "")
	conn, err := net.FileConn(file)
	_ = file.Close() // The connection has a descriptor of its own.
	return conn, err
}

// acceptSocket accepts a pending connection. Its error is syscall.EAGAIN if there is none.
func acceptSocket(listener int) (int, error) {
	for {
		descriptor, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if !errors.Is(err, syscall.EINTR) && !errors.Is(err, syscall.ECONNABORTED) {
			return descriptor, err
		}
	}
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
