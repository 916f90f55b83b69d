// Package entry takes the requests of callers, sends each to an upstream and
// streams the answer back, truthful about whether it ran.
package entry
