package wire

import (
	"fmt"
	"net/netip"
)

// UnreachableError reports that a daemon cannot be called.
type UnreachableError struct {
	Address netip.AddrPort
	Err     error
}

// Error returns the daemon and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("daemon %s is unreachable: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// RemoteError is an error that the other daemon returned for a call.
type RemoteError struct {
	Method  string
	Message string
}

// Error returns the method and the error message of the other daemon.
func (e *RemoteError) Error() string {
	return "call " + e.Method + ": " + e.Message
}
