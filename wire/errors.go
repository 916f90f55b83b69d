package wire

import (
	"fmt"
	"net/netip"
)

// UnreachableError reports a daemon that cannot be called.
type UnreachableError struct {
	Address netip.AddrPort
	Err     error
}

// Error names the daemon and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("daemon %s is unreachable: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// RemoteError reports a call that the other daemon refused.
type RemoteError struct {
	Method  string
	Message string
}

// Error names the call and the refusal.
func (e *RemoteError) Error() string {
	return "call " + e.Method + ": " + e.Message
}
