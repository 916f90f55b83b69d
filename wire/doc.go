// Package wire carries net/rpc calls between daemons, with a deadline on each
// call, a bound on the calls that wait, and a heartbeat that finds dead and
// one-directional paths.
package wire
