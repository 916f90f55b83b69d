// Command draw draws the charts in docs/pictures from the journal. It has to be run
// in the root of the repository.
package main
