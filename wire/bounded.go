package wire

import (
	"net"

	"github.com/go-faster/errors"
)

// maxMessageBytes bounds one message of another daemon. A view of the largest fleet takes
// about a third of it. Encoding/gob alone would hold up to 1 GB.
const maxMessageBytes = 32 << 20

var errLongMessage = errors.New("message of another daemon is too long")

// boundedConn is a connection whose reads fail at a message that is too long. It follows
// the length that precedes each message of encoding/gob: one byte up to 127, or the negated
// number of the bytes that follow, which have the length, the highest first.
type boundedConn struct {
	net.Conn

	lengthLeft int
	length     uint64
	bodyLeft   uint64
}

// Read implements net.Conn.
func (c *boundedConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	if !c.follow(data[:count]) {
		return 0, errLongMessage
	}
	return count, err
}

// follow processes the next bytes and reports whether no message is too long.
func (c *boundedConn) follow(data []byte) bool {
	const maxSingleByte, maxLengthBytes, byteBits = 127, 8, 8
	for len(data) > 0 {
		if c.bodyLeft > 0 {
			skipped := min(c.bodyLeft, uint64(len(data)))
			c.bodyLeft -= skipped
			data = data[skipped:]
			continue
		}
		next := data[0]
		data = data[1:]
		switch {
		case c.lengthLeft > 0:
			c.length = c.length<<byteBits | uint64(next)
			c.lengthLeft--
		case next <= maxSingleByte:
			c.length = uint64(next)
		default:
			c.length, c.lengthLeft = 0, -int(int8(next))
			if c.lengthLeft > maxLengthBytes {
				return false
			}
		}
		if c.lengthLeft > 0 {
			continue
		}
		if c.length > maxMessageBytes {
			return false
		}
		c.bodyLeft = c.length
	}
	return true
}
