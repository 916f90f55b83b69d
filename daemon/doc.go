// Package daemon constructs and runs the services of a daemon.
package daemon
