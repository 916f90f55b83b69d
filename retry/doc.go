// Package retry decides whether a request may run once more. It is pure.
package retry
