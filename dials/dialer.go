package dials

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The times after which a silent connection fails. A path that loses some
// packets needs a second to resend them; a partition shorter than that passes
// unnoticed.
const (
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	ackTimeout    = 3 * time.Second
)

// New returns a dialer whose connections fail when the other end acknowledges
// nothing for three seconds; timeout bounds the opening.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probeCount,
		},
		Control: setAckTimeout,
	}
}

func setAckTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
