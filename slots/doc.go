// Package slots brokers the servers of each service: one daemon, found by rank,
// decides for a service, and the others ask it over net/rpc. The servers of a
// large service are divided into parts with a daemon each. A daemon that reaches
// no broker decides for its own requests.
package slots
