// Package fold computes the active configuration by applying the records of the
// platform's log in order. It does no I/O and is deterministic: the same records
// give the same state.
package fold
