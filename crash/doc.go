// Package crash detects requests that crash the upstreams that run them. It does
// no I/O and reads no clock: callers pass the current time.
package crash
