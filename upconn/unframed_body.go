package upconn

import (
	"io"
	"net/http"
	"os"
	"syscall"

	"github.com/go-faster/errors"
)

// isFramed reports whether a response tells where its body ends. Otherwise the end of the
// connection delimits it.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// unframedBody is a response body that the end of the connection delimits. It ends only if
// the upstream has closed the connection, and fails if the connection was lost.
type unframedBody struct {
	io.ReadCloser

	conn *Conn
}

// Read implements io.Reader.
func (b *unframedBody) Read(data []byte) (int, error) {
	count, err := b.ReadCloser.Read(data)
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	if lossErr := b.conn.loss(); lossErr != nil {
		return count, lossErr
	}
	return count, err
}

// loss returns the error with which the connection was lost, after its end has been read;
// nil if the upstream has closed it. The kernel reports the loss of a connection to a
// single read or write, and an end to reads that follow. It must be called only if the
// connection is not used again, since it ends the write of the request.
func (c *Conn) loss() error {
	c.sent.seal()
	_ = c.conn.SetWriteDeadline(pastDeadline)
	err := c.sent.writeError()
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		return nil
	case errors.Is(err, syscall.EPIPE):
		// The upstream had closed the connection before it reset it.
		return nil
	default:
		return errors.Wrap(err, "connection lost while the request was sent")
	}
}
