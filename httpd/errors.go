package httpd

import "github.com/go-faster/errors"

// Why a caller's connection ended, as the cause of the context of a request on it.
var (
	ErrCallerLeft   = errors.New("caller closed the connection")
	ErrIdle         = errors.New("connection exceeded a time limit while it waited for a request")
	ErrServerClosed = errors.New("connection closed by this daemon")
)
