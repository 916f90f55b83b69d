// Package member joins the platform's lagging list of VMs with what this
// daemon's own round trips say.
package member
