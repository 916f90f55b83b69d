// Package member tracks the daemons of each zone and the upstreams that are leaving.
// It combines the platform's list of VMs, which lags behind, with the reachability of
// other daemons as observed on this daemon's connections to them.
package member
