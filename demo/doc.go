// Package demo runs a small fleet of daemons against stand-ins for the platform and
// shows what callers notice when a server drains and a daemon is lost.
package demo
