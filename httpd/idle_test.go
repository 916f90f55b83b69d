package httpd_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
)

const shortRequest = "GET / HTTP/1.1\r\nHost: souk.example\r\n\r\n"

// TestRequestAsConnectionExpires sends requests just as their connection has been idle
// for too long. It guards against a connection that is closed as idle while a request
// on it is being handled, which then ends without a response.
func TestRequestAsConnectionExpires(t *testing.T) {
	t.Parallel()
	const (
		callers, requests = 400, 8
		handlerTime       = 20 * time.Millisecond
		idleLimit         = 60 * time.Millisecond
		sweepInterval     = 3 * time.Millisecond
	)
	var handled atomic.Int64
	server, address := startServer(t, func(http.ResponseWriter, *http.Request) {
		handled.Add(1)
		time.Sleep(handlerTime)
	})
	ctx, cancel := context.WithCancel(context.Background())
	swept := kernel.Run(ctx, func(ctx context.Context) error {
		for ctx.Err() == nil {
			server.CloseExpired(time.Now(), httpd.Limits{IdleTimeout: idleLimit})
			time.Sleep(sweepInterval)
		}
		return nil
	})
	var answered atomic.Int64
	var workers sync.WaitGroup
	for i := range callers {
		workers.Go(func() {
			pause := idleLimit + time.Duration(i%7)*time.Millisecond
			answered.Add(int64(sendUntilClosed(t, address, requests, pause)))
		})
	}
	workers.Wait()
	cancel()
	<-swept
	if handled.Load() != answered.Load() {
		t.Errorf("%d of %d requests that were handled got no response", handled.Load()-answered.Load(), handled.Load())
	}
}

// sendUntilClosed sends requests over one connection, each a pause after the last
// response, until the connection is closed, and returns the number of responses.
func sendUntilClosed(t *testing.T, address string, requests int, pause time.Duration) int {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for answered := range requests {
		if _, err := io.WriteString(conn, shortRequest); err != nil {
			return answered
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answered
		}
		response.Body.Close()
		time.Sleep(pause)
	}
	return requests
}

// TestRequestDuringSweep sends a request while another connection is being closed as
// idle. It guards against a sweep that closes connections by a list that it made
// before, without looking whether they are still idle.
func TestRequestDuringSweep(t *testing.T) {
	t.Parallel()
	listener := &slowCloseListener{closing: make(chan struct{}, 2), proceed: make(chan struct{})}
	inHandler := make(chan struct{}, 1)
	var later atomic.Bool
	server, address := startServerOn(t, listener, func(http.ResponseWriter, *http.Request) {
		if later.Load() {
			inHandler <- struct{}{}
			time.Sleep(50 * time.Millisecond)
		}
	})
	var readers [2]*bufio.Reader
	var conns [2]net.Conn
	for i := range conns {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns[i], readers[i] = conn, bufio.NewReader(conn)
		if _, err := io.WriteString(conn, shortRequest); err != nil {
			t.Fatal(err)
		}
		readResponse(t, readers[i])
	}
	time.Sleep(20 * time.Millisecond)
	later.Store(true)
	swept := make(chan struct{})
	go func() {
		defer close(swept)
		server.CloseExpired(time.Now().Add(time.Hour), httpd.Limits{IdleTimeout: time.Minute})
	}()
	<-listener.closing
	open := 1 - listener.closed()
	if _, err := io.WriteString(conns[open], shortRequest); err != nil {
		t.Fatal(err)
	}
	select {
	case <-inHandler:
	case <-time.After(time.Second):
		close(listener.proceed)
		<-swept
		return // The connection was closed before the request came.
	}
	close(listener.proceed)
	<-swept
	if _, err := http.ReadResponse(readers[open], nil); err != nil {
		t.Errorf("the request was handled and got no response: %v", err)
	}
}

// slowCloseListener accepts connections whose Close reports that it was called and then
// waits.
type slowCloseListener struct {
	net.Listener

	accepted atomic.Int32
	first    atomic.Int32
	closing  chan struct{}
	proceed  chan struct{}
}

// Accept implements net.Listener.
func (l *slowCloseListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowCloseConn{Conn: conn, listener: l, number: l.accepted.Add(1)}, nil
}

// closed returns the index of the connection that was closed first.
func (l *slowCloseListener) closed() int { return int(l.first.Load()) - 1 }

type slowCloseConn struct {
	net.Conn

	listener *slowCloseListener
	number   int32
}

// Close implements net.Conn.
func (c *slowCloseConn) Close() error {
	if c.listener.first.CompareAndSwap(0, c.number) {
		c.listener.closing <- struct{}{}
	}
	<-c.listener.proceed
	return c.Conn.Close()
}

// startServer serves with read-ahead until the test ends and returns the server and its
// address.
func startServer(t *testing.T, handler http.HandlerFunc) (*httpd.Server, string) {
	t.Helper()
	return startServerOn(t, nil, handler)
}

func startServerOn(t *testing.T, slow *slowCloseListener, handler http.HandlerFunc) (*httpd.Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if slow != nil {
		slow.Listener = listener
		listener = slow
	}
	server := httpd.NewServer(listener, handler, httpd.WithReadAhead())
	ctx, cancel := context.WithCancel(context.Background())
	served := kernel.Run(ctx, server.Serve)
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return server, address
}

// TestRequestReadDuringShutdown completes requests after a shutdown has begun. It guards
// against a server that drops what it has read once it shuts down.
func TestRequestReadDuringShutdown(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		parts    []string
		answered int // The responses that come before the shutdown.
	}{
		{name: "head completed during the shutdown", parts: []string{"GET / HTTP/1.1\r\nHo", "st: souk.example\r\n\r\n"}},
		{name: "body completed during the shutdown", parts: []string{"POST / HTTP/1.1\r\nHost: souk.example\r\nContent-Length: 6\r\n\r\nlot", "=12"}},
		{name: "first request of a new connection", parts: []string{"", shortRequest}},
		{
			name: "head begun after a response", answered: 1,
			parts: []string{shortRequest + "GET /", " HTTP/1.1\r\nHost: souk.example\r\n\r\n"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for {
				began := time.Now()
				sent, err := requestDuringShutdown(t, test.parts, test.answered)
				if err == nil {
					return
				}
				// The server closes a connection that brings no request for a second.
				if test.parts[0] != "" || sent.Sub(began) < time.Second {
					t.Fatal(err)
				}
			}
		})
	}
}

// requestDuringShutdown sends the first part of some requests, begins a shutdown and sends
// the second. It returns when that was sent, and an error if a request got no response or
// the last one doesn't close the connection.
func requestDuringShutdown(t *testing.T, parts []string, answered int) (sent time.Time, err error) {
	t.Helper()
	const pause = 50 * time.Millisecond
	server, address := startServer(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	conn := dialServer(t, address)
	if _, err := io.WriteString(conn, parts[0]); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	for range answered {
		readResponse(t, reader)
	}
	time.Sleep(pause)
	shutDown := kernel.Run(context.Background(), server.Shutdown)
	time.Sleep(pause)
	_, err = io.WriteString(conn, parts[1])
	sent = time.Now()
	if err != nil {
		return sent, err
	}
	var response *http.Response
	for range strings.Count(parts[0]+parts[1], " HTTP/1.1") - answered {
		if response, err = http.ReadResponse(reader, nil); err != nil {
			return sent, errors.Wrap(err, "a request that was read got no response")
		}
		response.Body.Close()
	}
	if !response.Close {
		return sent, errors.New("the last response doesn't say that the connection is closed")
	}
	return sent, <-shutDown
}

// TestIdleLimitShortened shortens the idle limit after a response. The connection must
// stay open for the limit under which the caller got the response.
func TestIdleLimitShortened(t *testing.T) {
	t.Parallel()
	server, address := startServer(t, func(http.ResponseWriter, *http.Request) {})
	server.CloseExpired(time.Now(), httpd.Limits{IdleTimeout: time.Minute})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, test := range []struct {
		after  time.Duration
		closed bool
	}{{after: 45 * time.Second}, {after: 45 * time.Second, closed: true}} {
		if _, err := io.WriteString(conn, shortRequest); err != nil {
			t.Fatal(err)
		}
		readResponse(t, reader)
		time.Sleep(20 * time.Millisecond)
		server.CloseExpired(time.Now().Add(test.after), httpd.Limits{IdleTimeout: 30 * time.Second})
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err := reader.Peek(1)
		for end := time.Now().Add(10 * time.Second); test.closed && isTimeout(err) && time.Now().Before(end); {
			// The connection may not have counted as idle yet.
			server.CloseExpired(time.Now().Add(test.after), httpd.Limits{IdleTimeout: 30 * time.Second})
			_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			_, err = reader.Peek(1)
		}
		if closed := err == io.EOF; closed != test.closed {
			t.Errorf("got closed %t (%v), want %t", closed, err, test.closed)
		}
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// TestLateHead lets the head of a request exceed its time limit. It guards against a
// response that net/http sends to the incomplete head before the connection is closed,
// since callers don't repeat a request that was answered 400.
func TestLateHead(t *testing.T) {
	t.Parallel()
	listener := &slowCloseListener{closing: make(chan struct{}, 1), proceed: make(chan struct{})}
	server, address := startServerOn(t, listener, func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HT"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // The server has read the part of the head by now.
	ctx, cancel := context.WithCancel(context.Background())
	swept := kernel.Run(ctx, func(ctx context.Context) error {
		for ctx.Err() == nil {
			server.CloseExpired(time.Now().Add(time.Hour), httpd.Limits{HeaderTimeout: time.Minute})
			time.Sleep(time.Millisecond)
		}
		return nil
	})
	<-listener.closing
	_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if data, _ := io.ReadAll(conn); len(data) > 0 {
		t.Errorf("got the response %q", data)
	}
	close(listener.proceed)
	cancel()
	<-swept
}
