package httpd

import "time"

// Limits are the time limits of callers' connections. Zero means the default.
//
// HeaderTimeout runs from the acceptance of a connection until its first request begins,
// and from the first byte of a head until the head is complete. IdleTimeout runs from a
// response until the first byte of the next request; the one in force at the response
// still holds if a shorter one replaces it, since the caller relies on it.
type Limits struct {
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Default limits of a caller's connection.
const (
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
)

func (l Limits) withDefaults() Limits {
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}
