// Package dials opens TCP connections that notice within seconds when the other
// end has fallen silent.
package dials
