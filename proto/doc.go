// Package proto defines the HTTP headers and header values that are exchanged with
// callers and upstreams.
package proto
