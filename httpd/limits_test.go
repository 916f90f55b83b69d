package httpd_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
)

// TestSweep closes connections that wait too long for a request, and no others.
func TestSweep(t *testing.T) {
	t.Parallel()
	const work = 300 * time.Millisecond
	limits := httpd.Limits{HeaderTimeout: time.Minute, IdleTimeout: 2 * time.Minute}
	for _, test := range []struct {
		name   string
		send   string
		answer bool
		after  time.Duration
		closed bool
	}{
		{name: "at work", send: "GET / HTTP/1.1\r\nHost: a\r\n\r\n", after: time.Hour},
		{name: "half a head", send: "GET / HT", after: 90 * time.Second, closed: true},
		{name: "idle, allowed", send: "GET / HTTP/1.1\r\nHost: a\r\n\r\n", answer: true, after: 90 * time.Second},
		{name: "idle, too long", send: "GET / HTTP/1.1\r\nHost: a\r\n\r\n", answer: true, after: 3 * time.Minute, closed: true},
		{name: "new, allowed", after: 30 * time.Second},
		{name: "new, too long", after: 90 * time.Second, closed: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server, conn := serveSlowly(t, work)
			if _, err := io.WriteString(conn, test.send); err != nil {
				t.Fatal(err)
			}
			reader := bufio.NewReader(conn)
			if test.answer {
				readAnswer(t, reader)
			}
			time.Sleep(work / 3)
			server.CloseExpired(time.Now().Add(test.after), limits)
			_ = conn.SetReadDeadline(time.Now().Add(work / 3))
			_, err := reader.Peek(1)
			if closed := err == io.EOF; closed != test.closed {
				t.Errorf("closed is %t (%v), want %t", closed, err, test.closed)
			}
		})
	}
}

// serveSlowly serves requests that take a while, and opens a connection.
func serveSlowly(t *testing.T, work time.Duration) (*httpd.Server, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := httpd.NewServer(listener, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		time.Sleep(work)
	}), httpd.WithReadAhead())
	ctx, cancel := context.WithCancel(context.Background())
	end := kernel.Run(ctx, server.Serve)
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		conn.Close()
		cancel()
		if err := <-end; err != nil {
			t.Error(err)
		}
	})
	return server, conn
}

func readAnswer(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
}
