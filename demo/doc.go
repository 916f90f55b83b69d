// Package demo runs a small fleet with its stand-ins in one process.
package demo
