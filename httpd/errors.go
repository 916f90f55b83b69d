package httpd

import "github.com/go-faster/errors"

// Why a caller's connection ended, as the cause of the context of a request on it.
var (
	ErrCallerLeft    = errors.New("caller closed the connection")
	ErrHeaderTimeout = errors.New("head of a request was not complete in time")
	ErrIdle          = errors.New("connection was idle for too long")
	ErrServerClosed  = errors.New("connection closed by this daemon")
)

// ErrBehindLast is why requests were not handled that were sent behind a response after
// which the connection is closed. Callers send these again.
var ErrBehindLast = errors.New("sent behind the last response of the connection")
