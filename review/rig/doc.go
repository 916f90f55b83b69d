// Command rig runs the scripts of the second review. It starts daemons as processes between
// stand-ins for the store, servers and callers, and checks one rule.
package main
