// Package spread distributes the configuration to all daemons. In each availability
// zone a few daemons read the platform's log, and the others receive its changes
// from them over a tree. The readers also write checkpoints to the log, so that the
// configuration outlives the log's retention.
package spread
