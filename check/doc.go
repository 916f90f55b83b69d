// Package check decodes and encodes YAML and collects findings about input with their
// positions, so that all errors of an input are reported together.
package check
