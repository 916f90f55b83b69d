// Package front is the HTTP reverse proxy for callers. It matches each request
// to a route by host and path prefix, sends it to a server of the route's
// service and forwards the response. A response that the daemon generates itself
// states whether the request may have run.
package front
