// Package slots assigns the servers of each service to requests. For each
// service, rendezvous hashing selects one daemon as the broker, which the other
// daemons ask for servers over net/rpc. The servers of a large service are
// divided into parts with a broker each. A daemon that reaches no broker uses a
// local fallback broker for its own requests.
package slots
