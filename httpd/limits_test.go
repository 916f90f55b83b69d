package httpd_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
)

// TestCloseExpired checks that connections which have waited too long for a
// request are closed, and no others.
func TestCloseExpired(t *testing.T) {
	t.Parallel()
	const handlerTime = 300 * time.Millisecond
	limits := httpd.Limits{HeaderTimeout: time.Minute, IdleTimeout: 2 * time.Minute}
	for _, test := range []struct {
		name         string
		send         string
		readResponse bool
		after        time.Duration
		closed       bool
	}{
		{name: "request in flight", send: "GET / HTTP/1.1\r\nHost: a\r\n\r\n", after: time.Hour},
		{name: "incomplete head", send: "GET / HT", after: 90 * time.Second, closed: true},
		{name: "idle, within the limit", send: "GET / HTTP/1.1\r\nHost: a\r\n\r\n", readResponse: true, after: 90 * time.Second},
		{name: "idle, past the limit", send: "GET / HTTP/1.1\r\nHost: a\r\n\r\n", readResponse: true, after: 3 * time.Minute, closed: true},
		{name: "new, within the limit", after: 30 * time.Second},
		{name: "new, past the limit", after: 90 * time.Second, closed: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server, conn := startSlowServer(t, handlerTime)
			if _, err := io.WriteString(conn, test.send); err != nil {
				t.Fatal(err)
			}
			reader := bufio.NewReader(conn)
			if test.readResponse {
				readResponse(t, reader)
			}
			time.Sleep(handlerTime / 3)
			server.CloseExpired(time.Now().Add(test.after), limits)
			_ = conn.SetReadDeadline(time.Now().Add(handlerTime / 3))
			_, err := reader.Peek(1)
			for end := time.Now().Add(5 * time.Second); test.closed && isTimeout(err) && time.Now().Before(end); {
				// The server may not have read yet what it has to close for.
				server.CloseExpired(time.Now().Add(test.after), limits)
				_ = conn.SetReadDeadline(time.Now().Add(handlerTime / 3))
				_, err = reader.Peek(1)
			}
			if closed := err == io.EOF; closed != test.closed {
				t.Errorf("got closed %t (%v), want %t", closed, err, test.closed)
			}
		})
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// startSlowServer starts a server whose handler takes handlerTime, and opens a
// connection to it.
func startSlowServer(t *testing.T, handlerTime time.Duration) (*httpd.Server, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := httpd.NewServer(listener, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		time.Sleep(handlerTime)
	}), httpd.WithReadAhead())
	ctx, cancel := context.WithCancel(context.Background())
	served := kernel.Run(ctx, server.Serve)
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		conn.Close()
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return server, conn
}

func readResponse(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
}
