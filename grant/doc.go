// Package grant runs the pools that this daemon brokers, and asks the brokers of
// other daemons on behalf of this daemon's own requests.
package grant
