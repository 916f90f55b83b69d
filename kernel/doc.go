// Package kernel starts and stops the services of a process, looks them up by
// name, and dumps their state.
package kernel
