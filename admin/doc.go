// Package admin serves the operators' port of a daemon: health, metrics, state
// dump, configuration status and log level.
package admin
