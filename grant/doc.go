// Package grant connects the slot broker to the network. Service brokers upstream
// slots for the pools assigned to this daemon; Client requests slots from the
// brokers on all daemons for the requests that this daemon serves.
package grant
