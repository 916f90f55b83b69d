// Package broker schedules the requests of one pool of upstreams. It manages
// slots and queues, fairness between accounts, the share of long requests, and
// requests suspected of crashing upstreams. It does no I/O: the current time and
// the random seed are arguments, and decisions are returned as actions.
package broker
