// Package choose selects the server for each request of one service. It estimates
// the health of each server from the outcomes of real requests and limits
// retries. The package does no I/O and reads no clock: the present time and the
// random seed are arguments, and decisions are returned as values.
package choose
