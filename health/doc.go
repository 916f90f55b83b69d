// Package health judges upstreams by the real work that they do, against the
// peers of their pool, and decides ejection and return under a capacity floor.
// It is pure: the present time is an argument.
package health
