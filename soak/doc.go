// Package soak runs a fleet of real processes before stand-ins of the platform,
// injects faults that a seed draws, and checks the promises from what callers and
// servers see.
package soak
