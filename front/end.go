package front

import (
	"context"
	"net"

	"github.com/go-faster/errors"

	"dandeliondoor/httpd"
)

// endCause is why a request got no complete response.
type endCause string

const (
	endCallerLeft endCause = "caller_left"
	endDeadline   endCause = "deadline"
	endIdle       endCause = "idle"
	endServer     endCause = "server"
	endStopping   endCause = "daemon_stopping"
)

// endCauseOf returns the cause that an error stands for.
func endCauseOf(err error) endCause {
	var opErr *net.OpError
	switch {
	case errors.Is(err, httpd.ErrIdle):
		return endIdle
	case errors.Is(err, httpd.ErrServerClosed), errors.Is(err, errStopping):
		return endStopping
	case errors.Is(err, httpd.ErrCallerLeft), errors.Is(err, context.Canceled):
		return endCallerLeft
	case errors.Is(err, context.DeadlineExceeded):
		return endDeadline
	case errors.As(err, &opErr) && opErr.Op == "write":
		// Only the caller is written to while a response is passed on.
		return endCallerLeft
	default:
		return endServer
	}
}
