// Package feed keeps each daemon's view of configuration, servers and other
// daemons up to date. In each availability zone one daemon reads the store; the
// others follow it, and read for themselves when what they get grows old.
package feed
