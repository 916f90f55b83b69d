package httpd_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
)

// TestHeadBehindRequest lets the head of a pipelined request be late while the request
// before it is being handled. It guards against a header timeout that cuts that one.
func TestHeadBehindRequest(t *testing.T) {
	t.Parallel()
	inHandler := make(chan struct{})
	proceed := make(chan struct{})
	server, address := startServer(t, func(http.ResponseWriter, *http.Request) {
		close(inHandler)
		<-proceed
	})
	conn := dialServer(t, address)
	if _, err := io.WriteString(conn, shortRequest+"GET / HT"); err != nil {
		t.Fatal(err)
	}
	<-inHandler
	server.CloseExpired(time.Now().Add(time.Minute), httpd.Limits{HeaderTimeout: time.Second, IdleTimeout: time.Second})
	close(proceed)
	if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
		t.Errorf("the request was handled and got no response: %v", err)
	}
}

// TestEmptyLineBehindBody sends an empty line behind the body of a request, which some
// callers do. It guards against a connection that is never closed after that.
func TestEmptyLineBehindBody(t *testing.T) {
	t.Parallel()
	const post = "POST / HTTP/1.1\r\nHost: souk.example\r\nContent-Length: 3\r\n\r\nlot\r\n"
	for _, test := range []struct {
		name string
		end  func(ctx context.Context, server *httpd.Server) error
	}{
		{name: "idle", end: func(ctx context.Context, server *httpd.Server) error {
			for ctx.Err() == nil { // The empty line may not have been read yet.
				server.CloseExpired(time.Now().Add(time.Hour), httpd.Limits{IdleTimeout: time.Second})
				time.Sleep(time.Millisecond)
			}
			return nil
		}},
		{name: "shutdown", end: func(ctx context.Context, server *httpd.Server) error {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 20*time.Second)
			defer cancel()
			return server.Shutdown(ctx)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server, address := startServer(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
			conn := dialServer(t, address)
			reader := bufio.NewReader(conn)
			for range 2 {
				if _, err := io.WriteString(conn, post); err != nil {
					t.Fatal(err)
				}
				readResponse(t, reader)
			}
			time.Sleep(50 * time.Millisecond)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			ended := kernel.Run(ctx, func(ctx context.Context) error { return test.end(ctx, server) })
			_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
			if _, err := reader.ReadByte(); err != io.EOF {
				t.Errorf("the connection was not closed: %v", err)
			}
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// lateReadListener accepts connections whose reads return late with what they have read.
type lateReadListener struct {
	net.Listener

	read    chan struct{}
	proceed chan struct{}
}

// Accept implements net.Listener.
func (l lateReadListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateReadConn{Conn: conn, listener: l}, nil
}

type lateReadConn struct {
	net.Conn

	listener lateReadListener
}

// Read implements net.Conn.
func (c *lateReadConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	if count > 0 {
		c.listener.read <- struct{}{}
		<-c.listener.proceed
	}
	return count, err
}

// SyscallConn implements syscall.Conn.
func (c *lateReadConn) SyscallConn() (syscall.RawConn, error) {
	rawConn, err := c.Conn.(syscall.Conn).SyscallConn()
	return &lateRawConn{RawConn: rawConn, listener: c.listener}, err
}

type lateRawConn struct {
	syscall.RawConn

	listener lateReadListener
}

// Read implements syscall.RawConn.
func (c *lateRawConn) Read(read func(descriptor uintptr) bool) error {
	err := c.RawConn.Read(read)
	if err == nil {
		c.listener.read <- struct{}{}
		<-c.listener.proceed
	}
	return err
}

// TestSweepBetweenReadAndRecord sweeps after a request has been read from the network
// and before the connection knows of it. It guards against a connection that is closed
// as idle although a request has been read from it.
func TestSweepBetweenReadAndRecord(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		options []httpd.Option
	}{
		{name: "read-ahead", options: []httpd.Option{httpd.WithReadAhead()}},
		{name: "no read-ahead"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			late := lateReadListener{Listener: listener, read: make(chan struct{}, 9), proceed: make(chan struct{})}
			server := httpd.NewServer(late, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), test.options...)
			ctx, cancel := context.WithCancel(context.Background())
			served := kernel.Run(ctx, server.Serve)
			defer func() {
				cancel()
				<-served
			}()
			conn := dialServer(t, listener.Addr().String())
			if _, err := io.WriteString(conn, shortRequest); err != nil {
				t.Fatal(err)
			}
			<-late.read
			server.CloseExpired(time.Now().Add(time.Hour), httpd.Limits{HeaderTimeout: time.Second, IdleTimeout: time.Second})
			close(late.proceed)
			_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
			if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
				t.Errorf("the request was read and got no response: %v", err)
			}
		})
	}
}

// dialServer opens a connection that the end of the test closes.
func dialServer(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}
