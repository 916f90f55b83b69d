package upconn

import (
	"math"
	"net"

	"github.com/go-faster/errors"
)

// boundedReader reads from a connection and fails with exceeded after a number of
// bytes.
type boundedReader struct {
	conn     net.Conn
	left     int64
	exceeded error
	failed   bool
}

// limit bounds the bytes that are read from now on.
func (r *boundedReader) limit(count int64, exceeded error) {
	r.left, r.exceeded, r.failed = count, exceeded, false
}

// unlimit removes the bound.
func (r *boundedReader) unlimit() { r.limit(math.MaxInt64, nil) }

// Read implements io.Reader.
func (r *boundedReader) Read(data []byte) (int, error) {
	if r.left <= 0 {
		r.failed = true
		return 0, r.exceeded
	}
	if int64(len(data)) > r.left {
		data = data[:r.left]
	}
	count, err := r.conn.Read(data)
	r.left -= int64(count)
	return count, err
}

// cause returns the error of the bound if a read failed because of it, which
// net/http may replace by another one, and otherwise err.
func (r *boundedReader) cause(err error) error {
	if r.failed {
		return errors.Wrap(r.exceeded, "read response")
	}
	return err
}
