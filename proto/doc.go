// Package proto names the HTTP headers and values of the contracts with
// callers and upstreams.
package proto
