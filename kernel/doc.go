// Package kernel starts and stops services that find each other by name and
// dumps their state.
package kernel
