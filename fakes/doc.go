// Package fakes implements stand-ins for the systems around the fleet: the log
// service, the store, the list of VMs, servers, upstreams and network paths. Each
// implements only the documented protocol. Faults are injected through the Faults
// fields and, for some stand-ins, over HTTP as well.
package fakes
