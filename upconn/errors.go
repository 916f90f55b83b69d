package upconn

import (
	"fmt"
	"io"
	"net/netip"
	"syscall"

	"github.com/go-faster/errors"
)

// DialError reports that no connection could be opened, so no part of the request
// was sent.
type DialError struct {
	Address netip.AddrPort
	Err     error
}

// Error returns the address and the cause.
func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// ConnError reports that a connection failed during a request. Written is set if
// any byte of the request may have been sent, Reused if the connection had
// carried an earlier request.
type ConnError struct {
	Written bool
	Reused  bool
	Err     error
}

// Error returns the cause with a description of the failure.
func (e *ConnError) Error() string { return "connection to the upstream failed: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ConnError) Unwrap() error { return e.Err }

// Ended reports whether the upstream ended the connection, as one that crashes does.
func (e *ConnError) Ended() bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(e.Err, target) {
			return true
		}
	}
	return false
}
