// Package grant connects the slot broker to the network. Service brokers upstream
// slots for the pools assigned to this daemon. Client asks the brokers on all daemons
// for slots, on behalf of the requests that this daemon receives from callers. The
// daemon that receives a request is the request's entry.
package grant
