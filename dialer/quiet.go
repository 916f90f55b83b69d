package dialer

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Quiet reports whether the other end of a connection has neither closed it nor sent
// bytes that have not been read yet. A connection without a socket counts as quiet.
func Quiet(conn net.Conn) bool {
	syscallConn, hasSyscallConn := conn.(syscall.Conn)
	if !hasSyscallConn {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = rawConn.Control(func(descriptor uintptr) {
		var buffer [1]byte
		_, _, peekErr := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		wouldBlock = errors.Is(peekErr, unix.EAGAIN)
	})
	return err == nil && wouldBlock
}
