// Package trace finds the lines of a request in the logs of daemons.
package trace
