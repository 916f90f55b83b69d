// Package audit checks a configuration before it is sent: for entries that can never
// match, limits that contradict each other, and the difference from another version.
package audit
