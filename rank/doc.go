// Package rank ranks daemons by rendezvous hashing, so that all daemons with the
// same list assign a role to the same daemon, without an election.
package rank
