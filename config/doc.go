// Package config reads and checks the settings of a daemon.
package config
