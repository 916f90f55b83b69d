// Package fakes implements stand-ins for the systems around the fleet: the store, servers
// and network paths. Each implements only the documented protocol. Faults are injected
// through the Faults fields.
package fakes
