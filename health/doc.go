// Package health implements passive outlier detection. It compares the results
// of live requests to an upstream with those of the other upstreams in its pool,
// ejects outliers and readmits them, and keeps the healthy capacity above a
// floor. It does no I/O and reads no clock: callers pass the current time.
package health
