// Command stand runs one case of the review: a small deployment whose store, servers and clients
// are stand-ins in this process, and whose daemons are processes of the program.
package main
