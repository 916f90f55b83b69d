// Package plots draws pictures of what the journal of measurements holds. Daemons
// do not link it.
package plots
