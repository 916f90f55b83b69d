// Package front takes the requests of callers by host and path prefix, sends
// each to a server of its route's service, and passes the answer on, truthful
// about whether the request ran.
package front
