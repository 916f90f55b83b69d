// Package daemon puts the services of one daemon together.
package daemon
