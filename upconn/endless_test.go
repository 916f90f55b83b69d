package upconn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"dandeliondoor/upconn"
)

// endlessConn is a connection to an upstream that sends prefix and then repeats
// pattern. It ends after maxEndless bytes, so that a test without a bound ends.
type endlessConn struct {
	net.Conn

	prefix   string
	pattern  string
	received int
}

const maxEndless = 32 << 20

func (c *endlessConn) Read(data []byte) (int, error) {
	if c.received >= maxEndless {
		return 0, io.EOF
	}
	count := copy(data, c.prefix)
	c.prefix = c.prefix[count:]
	for count < len(data) {
		offset := c.received % len(c.pattern)
		copied := copy(data[count:], c.pattern[offset:])
		count += copied
		c.received += copied
	}
	return count, nil
}

func (c *endlessConn) Write(data []byte) (int, error) { return len(data), nil }

func (c *endlessConn) SetDeadline(time.Time) error { return nil }

func (c *endlessConn) Close() error { return nil }

// TestEndless sends a request to upstreams that send bytes without end before any
// response. The request must fail after a bounded number of bytes, and count as
// written.
func TestEndless(t *testing.T) {
	t.Parallel()
	const (
		maxHead = 128 << 10
		maxBody = 2 << 20
	)
	other := "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\n"
	for _, test := range []struct {
		name    string
		prefix  string
		pattern string
		limit   int
	}{
		{name: "body of another response, chunked", prefix: other + "Transfer-Encoding: chunked\r\n\r\n", pattern: "4\r\nabcd\r\n", limit: 3 * maxBody},
		{name: "body of another response, of great length", prefix: other + "Content-Length: 9999999999\r\n\r\n", pattern: "abcd", limit: maxBody},
		{name: "chunk extension", prefix: other + "Transfer-Encoding: chunked\r\n\r\n4;", pattern: "abcd", limit: maxHead},
		{name: "header line", prefix: "HTTP/1.1 200 OK\r\nX-Long: ", pattern: "abcd", limit: maxHead},
		{name: "header lines", prefix: "HTTP/1.1 200 OK\r\n", pattern: "X-Line: abcd\r\n", limit: maxHead},
		{name: "informational responses", pattern: "HTTP/1.1 103 Early Hints\r\n\r\n", limit: maxHead},
		{name: "responses to another request", pattern: other + "Content-Length: 0\r\n\r\n", limit: maxHead},
		{name: "status line", prefix: "HTTP/1.1 200 ", pattern: "abcd", limit: maxHead},
		{name: "trailer", prefix: other + "Transfer-Encoding: chunked\r\n\r\n0\r\n", pattern: "X-Line: abcd\r\n", limit: maxHead},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			conn := &endlessConn{prefix: test.prefix, pattern: test.pattern}
			pool := upconn.NewPool(func() {}, upconn.WithDial(func(context.Context, upconn.Target) (net.Conn, error) { return conn, nil }))
			_, err := do(context.Background(), pool, upconn.Target{ID: "i-1"}, "0")
			var connErr *upconn.ConnError
			if !errors.As(err, &connErr) || !connErr.Written {
				t.Errorf("got error %v, want a ConnError with Written set", err)
			}
			if conn.received > test.limit {
				t.Errorf("%d bytes were read, want at most %d", conn.received, test.limit)
			}
		})
	}
}

// slowWriteConn is a connection whose writes hand their bytes to the network but
// return only after the upstream has closed the connection.
type slowWriteConn struct {
	net.Conn

	accepted int
	closed   chan struct{}
	once     sync.Once
	returns  chan struct{}
}

func newSlowWriteConn(accepted int) *slowWriteConn {
	return &slowWriteConn{accepted: accepted, closed: make(chan struct{}), returns: make(chan struct{})}
}

func (c *slowWriteConn) Write(data []byte) (int, error) {
	c.once.Do(func() { close(c.closed) })
	<-c.returns
	return min(c.accepted, len(data)), net.ErrClosed
}

func (c *slowWriteConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, io.EOF
}

func (c *slowWriteConn) SetDeadline(time.Time) error { return nil }

func (c *slowWriteConn) Close() error { return nil }

func (c *slowWriteConn) send(length int64) error {
	pool := upconn.NewPool(func() {}, upconn.WithDial(func(context.Context, upconn.Target) (net.Conn, error) { return c, nil }))
	conn, err := connect(context.Background(), pool, upconn.Target{ID: "i-1"}, time.Minute)
	if err != nil {
		return err
	}
	_, err = conn.Do(context.Background(), &upconn.Request{
		Method: http.MethodPost, Target: "/bales", Host: "souk.example", Header: http.Header{},
		Body: strings.NewReader(strings.Repeat("x", int(length))), Length: length,
		Matches: func(http.Header, bool) bool { return true },
	})
	return err
}

// TestConcurrentWrite closes the connection while the write of a long request has
// sent bytes but not returned. The request must count as written: sent again, it
// could run twice.
func TestConcurrentWrite(t *testing.T) {
	t.Parallel()
	conn := newSlowWriteConn(1)
	defer close(conn.returns)
	err := conn.send(1 << 20)
	var connErr *upconn.ConnError
	if !errors.As(err, &connErr) || !connErr.Written {
		t.Fatalf("got error %v, want a ConnError with Written set", err)
	}
}

// TestWritten checks that a request counts as unwritten only if no write has
// accepted a byte, whatever its length.
func TestWritten(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		accepted := rapid.IntRange(0, 3).Draw(t, "accepted")
		length := rapid.Int64Range(0, 8<<10).Draw(t, "length")
		conn := newSlowWriteConn(accepted)
		close(conn.returns)
		err := conn.send(length)
		var connErr *upconn.ConnError
		if !errors.As(err, &connErr) || (accepted > 0 && !connErr.Written) {
			t.Fatalf("got error %v after %d bytes were accepted", err, accepted)
		}
	})
}
