// Package plots draws charts of the measurements in the journal. It is not linked
// into daemons.
package plots
