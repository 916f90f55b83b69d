// Package crash finds requests that crash the upstreams that run them. It is
// pure: the present time is an argument.
package crash
