package upconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dandeliondoor/upconn"
)

// writeFirstConn is a connection whose reads begin after a write has failed, so that the
// write gets the error with which the connection is lost. With slow set, that write returns
// only after a read has failed.
type writeFirstConn struct {
	net.Conn

	slow       bool
	writeOnce  sync.Once
	readOnce   sync.Once
	writeError chan struct{}
	readError  chan struct{}
}

func (c *writeFirstConn) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	if err != nil {
		c.writeOnce.Do(func() { close(c.writeError) })
		if c.slow {
			<-c.readError
		}
	}
	return count, err
}

func (c *writeFirstConn) Read(data []byte) (int, error) {
	<-c.writeError
	count, err := c.Conn.Read(data)
	if err != nil {
		c.readOnce.Do(func() { close(c.readError) })
	}
	return count, err
}

// TestUnframedBody lets an upstream respond without a length while a request is written,
// and reset the connection or close it before that. It guards against a response that is
// taken for complete since the write got the only report of the reset.
func TestUnframedBody(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\n" + idHeader + ": 0\r\n"
	for _, test := range []struct {
		name   string
		text   string
		closed bool
		slow   bool
		want   string
	}{
		{name: "reset", text: head + "\r\nlots"},
		{name: "reset, slow write", text: head + "\r\nlots", slow: true},
		{name: "reset before any of the body", text: head + "\r\n"},
		{name: "reset, HTTP 1.0", text: "HTTP/1.0 200 OK\r\n" + idHeader + ": 0\r\n\r\nlots"},
		{name: "reset behind a length", text: head + "Content-Length: 4\r\n\r\nlots", want: "lots"},
		{name: "closed before the reset", text: head + "\r\nlots", closed: true, want: "lots"},
		{name: "closed before the reset, slow write", text: head + "\r\nlots", closed: true, slow: true, want: "lots"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			target := startUpstreamThat(t, func(conn *net.TCPConn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, test.text)
				if test.closed {
					_ = conn.CloseWrite()
				}
				_ = conn.SetLinger(0)
			})
			pool := upconn.NewPool(func() {}, upconn.WithDial(func(ctx context.Context, target upconn.Target) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", target.Address.String())
				return &writeFirstConn{Conn: conn, slow: test.slow, writeError: make(chan struct{}), readError: make(chan struct{})}, err
			}))
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			body, err := doBody(ctx, pool, target, "0", strings.Repeat("x", 16<<20))
			if body != test.want || (test.want == "") != (err != nil) {
				t.Errorf("got body %q, error %v; want %q", body, err, test.want)
			}
		})
	}
}
