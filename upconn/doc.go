// Package upconn pools connections to upstreams and sends one request at a time
// over each. It never resends a request and reports whether any byte of a failed
// request was written.
package upconn
