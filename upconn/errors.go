package upconn

import (
	"fmt"
	"net/netip"
)

// DialError means that no connection could be opened, so nothing was sent.
type DialError struct {
	Address netip.AddrPort
	Err     error
}

// Error names the address and the cause.
func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// ConnError means that a connection failed. Written says whether a byte of the
// request may have left, Reused whether the connection had carried another
// request before.
type ConnError struct {
	Written bool
	Reused  bool
	Err     error
}

// Error returns the cause.
func (e *ConnError) Error() string { return "connection to the upstream broke: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ConnError) Unwrap() error { return e.Err }
