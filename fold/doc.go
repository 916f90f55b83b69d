// Package fold derives the configuration in force from the records of the
// platform's log. It is pure: the same records give the same state.
package fold
