package fakes

import (
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// LimitBuffers gives a connection the segments of an Ethernet and a small window, as the
// Control function of a net.Dialer. With the segments of the loopback, the kernel holds the
// responses that a caller doesn't read, instead of the daemon.
func LimitBuffers(_, _ string, conn syscall.RawConn) error {
	const segment, window = 1400, 16 << 10
	var err error
	controlErr := conn.Control(func(fd uintptr) {
		err = errors.Join(
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segment),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, window),
		)
	})
	return errors.Join(controlErr, err)
}
