// Package demo runs a small fleet of daemons in one process, with stand-ins for the
// platform and the upstreams. It serves the demo command, tests and benchmarks.
package demo
