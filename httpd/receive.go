package httpd

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// receive reads once from a connection and calls record with the result, both in one
// step under a mutex if the connection has a socket. So whoever holds the mutex finds
// each byte that has come either in the socket or recorded. It waits without the mutex.
func receive(conn net.Conn, mutex sync.Locker, buffer []byte, record func(data []byte, err error)) (int, error) {
	recordLocked := func(data []byte, err error) {
		mutex.Lock()
		defer mutex.Unlock()
		record(data, err)
	}
	syscallConn, hasSyscallConn := conn.(syscall.Conn)
	if !hasSyscallConn || len(buffer) == 0 {
		count, err := conn.Read(buffer)
		recordLocked(buffer[:count], err)
		return count, err
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		recordLocked(nil, err)
		return 0, err
	}
	var count int
	var readErr error
	waitErr := rawConn.Read(func(descriptor uintptr) bool {
		mutex.Lock()
		defer mutex.Unlock()
		count, readErr = readSocket(int(descriptor), buffer)
		if errors.Is(readErr, syscall.EAGAIN) {
			return false
		}
		record(buffer[:count], readErr)
		return true
	})
	if waitErr != nil {
		waitErr = readError(waitErr)
		recordLocked(nil, waitErr)
		return 0, waitErr
	}
	return count, readErr
}

// readSocket reads what has come. Its errors are those of a connection, but for
// syscall.EAGAIN if nothing has come.
func readSocket(descriptor int, buffer []byte) (int, error) {
	for {
		count, err := syscall.Read(descriptor, buffer)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return 0, err
		case err != nil:
			return 0, readError(os.NewSyscallError("read", err))
		case count == 0:
			return 0, io.EOF
		default:
			return count, nil
		}
	}
}

// readError returns the error that a read of a connection has for a cause. net/http sends
// no response on errors of this type.
func readError(cause error) error {
	var opErr *net.OpError
	if errors.As(cause, &opErr) {
		cause = opErr.Err
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: cause}
}

// delivered reports whether the other end of a connection has acknowledged all that was
// sent. A connection without a socket, or one that is closed, counts as delivered.
func delivered(conn net.Conn) bool {
	syscallConn, hasSyscallConn := conn.(syscall.Conn)
	if !hasSyscallConn {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return true
	}
	var queued int
	var queryErr error
	err = rawConn.Control(func(descriptor uintptr) {
		queued, queryErr = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
	})
	return err != nil || queryErr != nil || queued == 0
}
