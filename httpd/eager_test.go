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

// TestCallerLeaves closes a connection while its first request is answered: the
// handler learns of it, also with a second request behind.
func TestCallerLeaves(t *testing.T) {
	t.Parallel()
	const request = "GET /lots HTTP/1.1\r\nHost: souk.example\r\n\r\n"
	for _, test := range []struct {
		name   string
		sent   string
		behind string
	}{
		{name: "one request", sent: request},
		{name: "two requests", sent: request + request},
		{name: "two requests, one after the other", sent: request, behind: request},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			began, left := make(chan struct{}, 2), make(chan struct{}, 2)
			server := httpd.NewServer(listener, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				began <- struct{}{}
				<-r.Context().Done()
				left <- struct{}{}
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
			<-began
			// net/http reads one byte ahead while a request is at work.
			const settle = 50 * time.Millisecond
			time.Sleep(settle)
			if _, err := io.WriteString(conn, test.behind); err != nil {
				t.Fatal(err)
			}
			time.Sleep(settle)
			conn.Close()
			select {
			case <-left:
			case <-time.After(10 * time.Second):
				t.Fatal("the handler did not learn that the caller left")
			}
		})
	}
}

// TestPipelined sends three requests at once: the answers come in their order.
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
	answers, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	last := -1
	for _, path := range []string{"/a", "/b", "/c"} {
		at := strings.Index(string(answers), "\r\n\r\n"+path)
		if at <= last {
			t.Fatalf("answer to %s is missing or out of order:\n%s", path, answers)
		}
		last = at
	}
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
}
