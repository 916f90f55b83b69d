// Package rank orders daemons by rendezvous hashing, so that each daemon finds
// the same holder of a role from the same list, without an election.
package rank
