// Package upconn keeps connections to upstreams and sends one request at a time
// over each. It never sends a request twice, and tells whether a byte of a failed
// one was written.
package upconn
