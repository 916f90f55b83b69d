package wire

import (
	"net"
	"sync/atomic"
)

// Meter counts the bytes and messages of the control connections.
type Meter struct {
	Sent     atomic.Int64
	Received atomic.Int64
	Calls    atomic.Int64
}

// meteredConn adds what passes over a connection to a meter.
type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read reads from the connection.
func (c meteredConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.meter.Received.Add(int64(count))
	return count, err
}

// Write writes to the connection.
func (c meteredConn) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.meter.Sent.Add(int64(count))
	return count, err
}
