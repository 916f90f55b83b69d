// Package model defines and validates the documents that operators publish:
// services with their upstreams and routes, and client accounts with their
// limits.
package model
