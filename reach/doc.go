// Package reach determines which daemons have a role: those that rank first for it among the
// ones that this daemon reaches.
package reach
