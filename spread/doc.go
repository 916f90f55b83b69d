// Package spread keeps the configuration in force on each daemon: few daemons
// read the platform's log, the others follow them change by change, and readers
// renew what the log would forget.
package spread
