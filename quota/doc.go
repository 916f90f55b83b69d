// Package quota bounds the memory that all connections of a process use together for
// bytes that they hold.
package quota
