package httpd_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
)

// TestCallerDisconnects closes a connection while its first request is being
// handled. The context of the request must be cancelled, also if a pipelined request
// follows, in which case net/http alone doesn't notice the close.
func TestCallerDisconnects(t *testing.T) {
	t.Parallel()
	const request = "GET /lots HTTP/1.1\r\nHost: souk.example\r\n\r\n"
	for _, test := range []struct {
		name      string
		sent      string
		sentLater string
	}{
		{name: "one request", sent: request},
		{name: "two requests", sent: request + request},
		{name: "second request sent later", sent: request, sentLater: request},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			started, cancelled := make(chan struct{}, 2), make(chan struct{}, 2)
			server := httpd.NewServer(listener, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				<-r.Context().Done()
				cancelled <- struct{}{}
			}), httpd.WithReadAhead())
			ctx, cancel := context.WithCancel(context.Background())
			served := kernel.Run(ctx, server.Serve)
			defer func() {
				cancel()
				if err := <-served; err != nil {
					t.Error(err)
				}
			}()
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(conn, test.sent); err != nil {
				t.Fatal(err)
			}
			<-started
			// While a request is being handled, net/http reads one byte ahead.
			const settle = 50 * time.Millisecond
			time.Sleep(settle)
			if _, err := io.WriteString(conn, test.sentLater); err != nil {
				t.Fatal(err)
			}
			time.Sleep(settle)
			conn.Close()
			select {
			case <-cancelled:
			case <-time.After(10 * time.Second):
				t.Fatal("the context of the request was not cancelled")
			}
		})
	}
}

// TestPipelined sends three requests without waiting for responses. The responses
// must come in the order of the requests.
func TestPipelined(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := httpd.NewServer(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	}), httpd.WithReadAhead())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	served := kernel.Run(ctx, server.Serve)
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for _, path := range []string{"/a", "/b"} {
		if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: souk.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := io.WriteString(conn, "GET /c HTTP/1.1\r\nHost: souk.example\r\nConnection: close\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	responses, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	last := -1
	for _, path := range []string{"/a", "/b", "/c"} {
		position := strings.Index(string(responses), "\r\n\r\n"+path)
		if position <= last {
			t.Fatalf("response to %s is missing or out of order:\n%s", path, responses)
		}
		last = position
	}
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
}
