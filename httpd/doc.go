// Package httpd provides an HTTP server for listeners that its caller opens, with
// go-zero's router. It detects requests with ambiguous framing, closes connections
// that exceed their time limits, and cancels a request when the caller disconnects.
package httpd
