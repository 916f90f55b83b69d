// Package plat speaks the platform's two contracts: the append-only log and
// the list of VMs.
package plat
