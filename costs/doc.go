// Package costs estimates how long requests run on a server, from how long similar ones
// have run. It does no I/O and reads no clock: the present time is an argument. A Model
// is not safe for concurrent use.
package costs
