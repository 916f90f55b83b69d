// Package pubs publishes deployments to the platform's log and reports their
// outcome.
package pubs
