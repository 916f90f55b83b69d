// Package soak runs a fleet of daemon processes against stand-ins of the platform,
// injects a random sequence of faults that a seed determines, and checks the fleet's
// guarantees against what callers and servers observed.
package soak
