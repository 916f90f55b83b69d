// Package infra contains clients and messages of two services of the platform: the
// append-only log and the list of VMs.
package infra
