// Package topo holds what a daemon knows of its surroundings: routes, services,
// servers and the other daemons, as immutable values and as tables whose changes
// can be replicated.
package topo
