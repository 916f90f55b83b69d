package httpd_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
)

// smallReceiveBuffer is the size of the receive buffer of a caller that reads slowly, in
// bytes.
const smallReceiveBuffer = 4 << 10

// dialSlowReader opens a connection with a small receive buffer, so that most of a large
// response stays in the send buffer of the server.
func dialSlowReader(t *testing.T, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(descriptor uintptr) {
			setErr = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceiveBuffer)
		})
		if err != nil {
			return err
		}
		return setErr
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// TestBytesAfterLastResponse sends a request after the server has closed the connection
// behind a response that the caller has not read yet. It guards against a reset that
// destroys the response on its way.
func TestBytesAfterLastResponse(t *testing.T) {
	t.Parallel()
	const size = 256 << 10
	for _, test := range []struct {
		name    string
		request string
		header  string
		stop    bool
	}{
		{name: "closed by the handler", request: shortRequest, header: "close"},
		{name: "closed by the caller", request: "GET / HTTP/1.1\r\nHost: souk.example\r\nConnection: close\r\n\r\n"},
		{name: "keep-alive disabled", request: shortRequest, stop: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server, address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				if test.header != "" {
					w.Header().Set("Connection", test.header)
				}
				_, _ = w.Write(bytes.Repeat([]byte("x"), size))
			})
			if test.stop {
				server.DisableKeepAlives()
			}
			conn := dialSlowReader(t, address)
			if _, err := io.WriteString(conn, test.request); err != nil {
				t.Fatal(err)
			}
			time.Sleep(200 * time.Millisecond)
			_, _ = io.WriteString(conn, shortRequest)
			time.Sleep(100 * time.Millisecond)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			count, err := io.Copy(io.Discard, response.Body)
			if err != nil || count != size {
				t.Errorf("read %d of %d bytes of the response: %v", count, size, err)
			}
		})
	}
}

// TestResponseBeforeBody sends a large body to a server that responds without reading
// it. It guards against a reset that destroys the response while the caller still sends.
func TestResponseBeforeBody(t *testing.T) {
	t.Parallel()
	const (
		size     = 4 << 20
		interval = 150 * time.Millisecond
		parts    = 8
	)
	_, address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: souk.example\r\nContent-Length: 4194304\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	part := bytes.Repeat([]byte("x"), size/parts)
	for range parts {
		if _, err := conn.Write(part); err != nil {
			break // The server may stop reading once it has responded.
		}
		time.Sleep(interval)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("the response was lost: %v", err)
	}
	if response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("got status %d", response.StatusCode)
	}
}

// TestPipelinedBehindLast sends a request behind one whose response closes the
// connection. The first is answered whole, the second not handled.
func TestPipelinedBehindLast(t *testing.T) {
	t.Parallel()
	const chunked = "POST /a HTTP/1.1\r\nHost: souk.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nlot\r\n0\r\n\r\n"
	for _, test := range []struct {
		name  string
		first string
	}{
		{name: "closed by the caller", first: "GET /a HTTP/1.1\r\nHost: souk.example\r\nConnection: close\r\n\r\n"},
		{name: "chunked body", first: chunked},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var handled atomic.Int64
			_, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				handled.Add(1)
				if httpd.FramingOf(r).Chunked {
					w.Header().Set("Connection", "close")
				}
				text, _ := io.ReadAll(r.Body)
				_, _ = io.WriteString(w, r.URL.Path+" "+string(text))
			})
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, test.first+strings.Repeat(shortRequest, 3)); err != nil {
				t.Fatal(err)
			}
			data, err := io.ReadAll(conn)
			if err != nil {
				t.Errorf("the connection ended with %v", err)
			}
			if !strings.Contains(string(data), "Connection: close") || !strings.Contains(string(data), "\r\n\r\n/a ") {
				t.Errorf("got %q", data)
			}
			if count := handled.Load(); count != 1 {
				t.Errorf("handled %d requests, want 1", count)
			}
		})
	}
}

// TestPipelinedBeyondReadAhead sends far more than is read ahead behind a request that is
// being handled. It guards against a read loop and a handler that wait for each other.
func TestPipelinedBeyondReadAhead(t *testing.T) {
	t.Parallel()
	const requests = 6000
	_, address := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			time.Sleep(200 * time.Millisecond)
		}
	})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	go func() {
		_, _ = io.WriteString(conn, "GET /first HTTP/1.1\r\nHost: souk.example\r\n\r\n"+strings.Repeat(shortRequest, requests-1))
	}()
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	reader := bufio.NewReader(conn)
	for i := range requests {
		if _, err := http.ReadResponse(reader, nil); err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
	}
}

// TestCallerStopsSending closes the sending half of a connection while a request is
// being handled. That is the same to the server as a caller that is gone: the request
// is cancelled and the connection closed.
func TestCallerStopsSending(t *testing.T) {
	t.Parallel()
	cancelled := make(chan error, 1)
	_, address := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		cancelled <- r.Context().Err()
		panic(http.ErrAbortHandler)
	})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, shortRequest); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	select {
	case <-cancelled:
	case <-time.After(20 * time.Second):
		t.Fatal("the request was not cancelled")
	}
	if data, _ := io.ReadAll(conn); len(data) > 0 {
		t.Errorf("got %q", data)
	}
}

// TestOddRequests sends requests of unusual form. Each is answered.
func TestOddRequests(t *testing.T) {
	t.Parallel()
	_, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		switch r.URL.Path {
		case "/204":
			w.WriteHeader(http.StatusNoContent)
		case "/304":
			w.WriteHeader(http.StatusNotModified)
		}
		_, _ = w.Write(append([]byte("got "), text...))
	})
	for _, test := range []struct {
		name   string
		sent   string
		method string
		want   int
		body   string
	}{
		{name: "HTTP/1.0", sent: "GET / HTTP/1.0\r\n\r\n", want: 200, body: "got "},
		{name: "HTTP/1.0 with a length", sent: "POST / HTTP/1.0\r\nContent-Length: 3\r\n\r\nlot", want: 200, body: "got lot"},
		{name: "HEAD", sent: "HEAD / HTTP/1.1\r\nHost: a\r\n\r\n", method: http.MethodHead, want: 200},
		{name: "204 with a body", sent: "GET /204 HTTP/1.1\r\nHost: a\r\n\r\n", want: 204},
		{name: "304 with a body", sent: "GET /304 HTTP/1.1\r\nHost: a\r\n\r\n", want: 304},
		{
			name: "trailers", want: 200, body: "got lot",
			sent: "POST / HTTP/1.1\r\nHost: a\r\nTrailer: Digest\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nlot\r\n0\r\nDigest: 1\r\n\r\n",
		},
		{name: "unknown expectation", sent: "POST / HTTP/1.1\r\nHost: a\r\nExpect: lots\r\nContent-Length: 3\r\n\r\nlot", want: 417},
		{name: "unknown transfer coding", sent: "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\nlot", want: 501, body: "Unsupported transfer encoding"},
		{name: "two hosts", sent: "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", want: 400, body: "400 Bad Request"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
			if _, err := io.WriteString(conn, test.sent); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: test.method})
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != test.want || string(body) != test.body {
				t.Errorf("got %d %q %v, want %d %q", response.StatusCode, body, err, test.want, test.body)
			}
		})
	}
}

// TestExpectContinue sends the body of a request only after the server asks for it.
func TestExpectContinue(t *testing.T) {
	t.Parallel()
	_, address := startServer(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	for _, want := range []int{http.StatusContinue, http.StatusOK} {
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != want {
			t.Fatalf("got %v %v, want status %d", response, err, want)
		}
		if want == http.StatusContinue {
			if _, err := io.WriteString(conn, "lot"); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// TestPipelinedWhileClosing sends requests in one piece to a server that closes
// connections after their responses. It guards against requests that have been read and
// are dropped because a response before theirs closes the connection.
func TestPipelinedWhileClosing(t *testing.T) {
	t.Parallel()
	server, address := startServer(t, func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) })
	server.DisableKeepAlives()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const requests = 3
	if _, err := io.WriteString(conn, strings.Repeat(shortRequest, requests)); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	for i := range requests {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request %d was read and got no response: %v", i, err)
		}
		if last := i == requests-1; response.Close != last {
			t.Errorf("response %d: got Connection: close %t, want %t", i, response.Close, last)
		}
	}
}

// TestShutdownWhileLingering ends the time of a shutdown while the only connection waits
// for its caller to close it. It guards against a stop that fails because of a caller that
// has its response.
func TestShutdownWhileLingering(t *testing.T) {
	t.Parallel()
	handling, proceed := make(chan struct{}), make(chan struct{})
	server, address := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(handling)
			<-proceed
		}
	})
	resting, conn := dialServer(t, address), dialServer(t, address)
	if _, err := io.WriteString(resting, shortRequest); err != nil {
		t.Fatal(err)
	}
	restingReader := bufio.NewReader(resting)
	readResponse(t, restingReader)
	if _, err := io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: souk.example\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-handling
	ctx, cancel := context.WithCancel(context.Background())
	shutDown := kernel.Run(ctx, server.Shutdown)
	// The shutdown closes the connection that rests.
	if _, err := restingReader.ReadByte(); err != io.EOF {
		t.Errorf("got %v on a connection that rests, want its end", err)
	}
	close(proceed)
	reader := bufio.NewReader(conn)
	if response, err := http.ReadResponse(reader, nil); err != nil || !response.Close {
		t.Errorf("got %+v, error %v, want a response that closes the connection", response, err)
	}
	// Lingering begins with the end of what the server sends.
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("got %v after the response, want its end", err)
	}
	cancel()
	if err := <-shutDown; err != nil {
		t.Errorf("the shutdown failed: %v", err)
	}
}

// TestShutdownAnswersPending shuts down a server that has not accepted a connection yet.
// It guards against requests that are reset because the server closes its listener while
// the kernel holds their connections.
func TestShutdownAnswersPending(t *testing.T) {
	t.Parallel()
	const callers = 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := httpd.NewServer(listener, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	conns := make([]net.Conn, callers)
	for i := range conns {
		if conns[i], err = net.Dial("tcp", listener.Addr().String()); err != nil {
			t.Fatal(err)
		}
		defer conns[i].Close()
		if _, err := io.WriteString(conns[i], shortRequest); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(ctx) }()
	time.Sleep(50 * time.Millisecond)
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx) }()
	for i, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
			t.Errorf("request %d got no response: %v", i, err)
		}
		_ = conn.Close()
	}
	if err := errors.Join(<-stopped, <-served); err != nil {
		t.Errorf("the server ended with an error: %v", err)
	}
}

// TestResponseBeforeRestOfBody sends a part of a body and waits. It guards against a
// response that is held back until the caller has sent the rest.
func TestResponseBeforeRestOfBody(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		sent string
	}{
		{name: "length", sent: "POST / HTTP/1.1\r\nHost: souk.example\r\nContent-Length: 1000\r\n\r\nlot"},
		{name: "chunked", sent: "POST / HTTP/1.1\r\nHost: souk.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nlot\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			_, address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, test.sent); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
			if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
				t.Errorf("no response: %v", err)
			}
		})
	}
}
