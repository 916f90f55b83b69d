// Package simul plays traffic against the server selection of choose on a virtual
// clock, without a network: servers with unhealthy periods, bursts, callers that
// return after a refusal, and the loss of all daemons at once. The same seed gives
// the same run.
package simul
