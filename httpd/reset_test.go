package httpd_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
)

// largeResponse is the size of a response that stays in buffers of the sockets while its
// caller does not read, in bytes.
const largeResponse = 256 << 10

// largeRequest is answered with largeResponse bytes by startLargeServer.
const largeRequest = "GET /large HTTP/1.1\r\nHost: souk.example\r\n\r\n"

// startLargeServer starts a server that reports on a channel when it has written a large
// response, and breaks off the response to /abort.
func startLargeServer(t *testing.T) (server *httpd.Server, address string, written <-chan struct{}) {
	t.Helper()
	handled := make(chan struct{}, 1)
	server, address = startServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/large":
			_, _ = w.Write(bytes.Repeat([]byte("x"), largeResponse))
			handled <- struct{}{}
		case "/abort":
			w.Header().Set("Content-Length", "9")
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	})
	return server, address, handled
}

// TestCloseBehindResponseOnItsWay closes connections in several ways while a response
// before the close is still on its way, and sends more. It guards against a reset that
// destroys this response.
func TestCloseBehindResponseOnItsWay(t *testing.T) {
	t.Parallel()
	const short, long = 200 * time.Millisecond, time.Second
	for _, test := range []struct {
		name  string
		sent  string
		pause time.Duration
		end   func(ctx context.Context, server *httpd.Server) error
	}{
		{name: "next response is broken off", sent: largeRequest + "GET /abort HTTP/1.1\r\nHost: souk.example\r\n\r\n", pause: short},
		{name: "next request is malformed", sent: largeRequest + "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", pause: short},
		{name: "HTTP/1.0", sent: "GET /large HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", pause: short},
		{name: "last response, slow caller", sent: "GET /large HTTP/1.1\r\nHost: souk.example\r\nConnection: close\r\n\r\n", pause: long},
		{name: "shutdown", sent: largeRequest, pause: short, end: func(ctx context.Context, server *httpd.Server) error { return server.Shutdown(ctx) }},
		{name: "idle", sent: largeRequest, pause: short, end: func(_ context.Context, server *httpd.Server) error {
			server.CloseExpired(time.Now(), httpd.Limits{IdleTimeout: time.Millisecond})
			return nil
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server, address, written := startLargeServer(t)
			conn := dialSlowReader(t, address)
			if _, err := io.WriteString(conn, test.sent); err != nil {
				t.Fatal(err)
			}
			<-written
			time.Sleep(50 * time.Millisecond)
			ended := make(<-chan error)
			if test.end != nil {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				ended = kernel.Run(ctx, func(ctx context.Context) error { return test.end(ctx, server) })
			}
			time.Sleep(test.pause)
			_, _ = io.WriteString(conn, shortRequest)
			time.Sleep(100 * time.Millisecond)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if count, err := io.Copy(io.Discard, response.Body); err != nil || count != largeResponse {
				t.Errorf("read %d of %d bytes of the response: %v", count, largeResponse, err)
			}
			if test.end == nil {
				return
			}
			if err := <-ended; err != nil {
				t.Errorf("got %v at the end", err)
			}
		})
	}
}

// TestAbortWithRestOfBody breaks off a response while the caller has sent a part of its
// request. It guards against a connection that stays open until the rest has come, so
// that the caller waits for the rest of the response.
func TestAbortWithRestOfBody(t *testing.T) {
	t.Parallel()
	_, address, _ := startLargeServer(t)
	conn := dialServer(t, address)
	if _, err := io.WriteString(conn, "POST /abort HTTP/1.1\r\nHost: souk.example\r\nContent-Length: 1000\r\n\r\nlot"); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(response.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %q and %v, want a response that is cut short", body, err)
	}
}

// TestEndWithBusyConnections ends a server while handlers are at work on connections that
// have got responses before. It guards against a process that outlasts its time because
// these connections linger one after the other.
func TestEndWithBusyConnections(t *testing.T) {
	t.Parallel()
	const callers = 16
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	busy, release := make(chan struct{}, callers), make(chan struct{})
	defer close(release)
	server := httpd.NewServer(listener, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/busy" {
			busy <- struct{}{}
			<-release
		}
	}), httpd.WithReadAhead())
	ctx, cancel := context.WithCancel(context.Background())
	served := kernel.Run(ctx, server.Serve)
	for range callers {
		conn := dialServer(t, listener.Addr().String())
		if _, err := io.WriteString(conn, shortRequest+"GET /busy HTTP/1.1\r\nHost: souk.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		readResponse(t, bufio.NewReader(conn))
		<-busy
	}
	expired, expire := context.WithCancel(ctx)
	expire()
	if err := server.Shutdown(expired); err == nil {
		t.Error("the shutdown ended without an error while requests were being handled")
	}
	began := time.Now()
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("the end took %s", took)
	}
}
