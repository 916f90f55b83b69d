// Package check collects findings about input, each with its place, so that
// all of them are reported together.
package check
