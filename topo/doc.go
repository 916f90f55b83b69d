// Package topo defines what a daemon knows about the deployment: routes,
// services, servers and the other daemons. It holds them as immutable values and
// in tables that replicate their changes incrementally.
package topo
