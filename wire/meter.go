package wire

import (
	"net"
	"sync/atomic"
)

// Meter counts the bytes and the outgoing calls of connections between daemons.
type Meter struct {
	Sent     atomic.Int64
	Received atomic.Int64
	Calls    atomic.Int64
}

// meteredConn counts the bytes that pass over a connection.
type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read counts the bytes that it reads from the connection.
func (c meteredConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.meter.Received.Add(int64(count))
	return count, err
}

// Write counts the bytes that it writes to the connection.
func (c meteredConn) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.meter.Sent.Add(int64(count))
	return count, err
}
