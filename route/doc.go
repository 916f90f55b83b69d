// Package route holds the table that leads from host, path and account of a
// request to what is declared for them.
package route
