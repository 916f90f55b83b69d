package httpd_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
)

// numbered returns requests to a path whose IDs count from first.
func numbered(path string, first, count int) string {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: souk.example\r\nx-lot-id: r-%d\r\n\r\n", path, first+i)
	}
	return text.String()
}

// numberedIDs returns the IDs of numbered requests.
func numberedIDs(first, count int) []string {
	var ids []string
	for i := range count {
		ids = append(ids, fmt.Sprintf("r-%d", first+i))
	}
	return ids
}

// recordListener accepts one connection and closes a channel when the server has recorded
// a number of bytes from it.
type recordListener struct {
	net.Listener

	size     int
	recorded chan struct{}
}

// Accept implements net.Listener.
func (l recordListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordConn{Conn: conn, listener: l}, nil
}

type recordConn struct {
	net.Conn

	listener recordListener
	count    int
}

// Read implements net.Conn. The server reads on when it has recorded what it has read.
func (c *recordConn) Read(data []byte) (int, error) {
	if c.count == c.listener.size {
		close(c.listener.recorded)
		c.count++
	}
	count, err := c.Conn.Read(data)
	c.count += count
	return count, err
}

// startRecording starts a server that closes a channel when it has recorded a number of
// bytes from its connection, and returns its address.
func startRecording(t *testing.T, size int, recorded chan struct{}, handler http.HandlerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := httpd.NewServer(recordListener{Listener: listener, size: size, recorded: recorded}, handler, httpd.WithReadAhead())
	ctx, cancel := context.WithCancel(context.Background())
	served := kernel.Run(ctx, server.Serve)
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// TestUnhandled ends connections on which requests were read that the handler never got.
// It guards against ends that can't be traced to their requests, and against counting
// what net/http answered itself, or what was sent behind a last response.
func TestUnhandled(t *testing.T) {
	t.Parallel()
	const closing = "GET / HTTP/1.1\r\nHost: souk.example\r\nConnection: close\r\n\r\n"
	for _, test := range []struct {
		name      string
		sent      string
		leave     bool
		responses int
		count     int
		ids       []string
		cause     error
	}{
		{name: "all handled", sent: numbered("/", 1, 3), leave: true, responses: 3},
		{name: "broken off", sent: numbered("/", 1, 2) + numbered("/abort", 3, 1) + numbered("/", 4, 2), count: 2, ids: numberedIDs(4, 2), cause: httpd.ErrServerClosed},
		{name: "reset", sent: numbered("/reset", 1, 1) + numbered("/", 2, 2), count: 2, ids: numberedIDs(2, 2), cause: httpd.ErrServerClosed},
		{name: "caller left", sent: numbered("/wait", 1, 1) + numbered("/", 2, 3), leave: true, count: 3, ids: numberedIDs(2, 3), cause: httpd.ErrCallerLeft},
		{name: "many", sent: numbered("/abort", 1, 1) + numbered("/", 2, 200), count: 200, ids: numberedIDs(186, 16), cause: httpd.ErrServerClosed},
		{name: "no ID", sent: numbered("/abort", 1, 1) + shortRequest, count: 1, ids: []string{""}, cause: httpd.ErrServerClosed},
		{name: "behind the last response", sent: closing + numbered("/", 1, 2), count: 2, ids: numberedIDs(1, 2), cause: httpd.ErrBehindLast},
		{name: "rejected by net/http", sent: shortRequest + "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"},
		{
			name: "behind one that net/http rejected", count: 1, ids: numberedIDs(1, 1), cause: httpd.ErrBehindLast,
			sent: shortRequest + "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n" + numbered("/", 1, 1),
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			recorded := recordListener{Listener: listener, size: len(test.sent), recorded: make(chan struct{})}
			reports := make(chan httpd.Unhandled, 9)
			server := httpd.NewServer(recorded, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				<-recorded.recorded
				switch r.URL.Path {
				case "/wait":
					<-r.Context().Done()
					panic(http.ErrAbortHandler)
				case "/abort":
					panic(http.ErrAbortHandler)
				case "/reset":
					if err := httpd.Abort(w); err != nil {
						t.Error(err)
					}
				}
			}), httpd.WithReadAhead(), httpd.WithUnhandled("X-Lot-Id", func(u httpd.Unhandled) { reports <- u }))
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			served := kernel.Run(ctx, server.Serve)
			conn := dialServer(t, listener.Addr().String())
			if _, err := io.WriteString(conn, test.sent); err != nil {
				t.Fatal(err)
			}
			<-recorded.recorded
			reader := bufio.NewReader(conn)
			for range test.responses {
				readResponse(t, reader)
			}
			if !test.leave {
				_, _ = io.Copy(io.Discard, reader)
			}
			_ = conn.Close()
			if err := errors.Join(server.Shutdown(ctx), <-served); err != nil {
				t.Error(err)
			}
			close(reports)
			got := <-reports
			if got.Count != test.count || !slices.Equal(got.IDs, test.ids) || !errors.Is(got.Cause, test.cause) {
				t.Errorf("got %d %v %v, want %d %v %v", got.Count, got.IDs, got.Cause, test.count, test.ids, test.cause)
			}
		})
	}
}
