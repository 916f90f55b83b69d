// Package wire carries net/rpc calls between daemons, with a deadline on each
// call, a limit on pending calls, and a heartbeat that detects network paths that
// are broken in one or both directions.
package wire
