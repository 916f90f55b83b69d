// Package dials opens TCP connections that fail within seconds when the other end
// stops responding.
package dials
