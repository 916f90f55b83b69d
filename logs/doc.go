// Package logs sets up structured logs with a fixed prefix for each part and
// a level that can change at run time.
package logs
