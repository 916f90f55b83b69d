// Package choose decides for one service which server runs a request: it judges
// each server by the outcomes of real work, and bounds second sends. It is pure:
// the present time and the seed are arguments, decisions come out as values.
package choose
