// Package retry decides whether a failed request may be sent to another upstream.
// It does no I/O and reads no clock.
package retry
