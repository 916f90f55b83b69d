// Package queue orders the asks that wait for a server of one pool. Room is shared fairly
// among accounts, then by priority, then by the latest start that still serves the caller.
// The package does no I/O and reads no clock: the current time is an argument.
package queue
