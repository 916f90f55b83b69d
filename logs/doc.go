// Package logs sets up structured logging. Each line has a field with the component
// that logged it, and the level can be changed at run time.
package logs
