// Package dialer opens TCP connections that fail within seconds when the other end
// stops responding.
package dialer
