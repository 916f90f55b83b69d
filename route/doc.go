// Package route holds the routing table, which maps the host and path of a request
// to a service and a route, and finds declared accounts and pools.
package route
