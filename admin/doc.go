// Package admin serves the operators' port of a daemon: health checks, metrics,
// state dumps, configuration status and the log level. It also serves the load
// balancer's readiness check.
package admin
