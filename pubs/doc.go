// Package pubs publishes deployments to the platform's log and says what became
// of them.
package pubs
