// Package httpd provides an HTTP server for a given listener, and a router based on
// go-zero's. The server detects requests with ambiguous framing, closes connections
// that exceed their time limits, and cancels a request when the caller disconnects.
package httpd
