// Package feed keeps each daemon's view of the configuration, the servers and
// the other daemons up to date. In each availability zone one daemon reads the
// store. The others get their views from it, directly or through other daemons,
// and read the store themselves when their views become stale.
package feed
