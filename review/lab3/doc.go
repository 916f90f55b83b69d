// Package main starts the project's daemons as processes, with stand-ins for the platform's
// store, servers and clients in its own process, plays one case of the review, and checks
// the rule that the case is about.
package main
