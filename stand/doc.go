// Package stand holds small stand-ins for what surrounds the fleet: the log
// service, the list of VMs, upstreams and network paths. Each speaks just the
// documented contract, and its faults are switched over its own port.
package stand
