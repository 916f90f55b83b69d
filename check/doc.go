// Package check decodes YAML input and collects findings about it with their
// positions, so that all errors of an input are reported together.
package check
