package httpd_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
)

// pausedListener accepts connections whose reads pause before they return what came, as
// those of a starved process do.
type pausedListener struct {
	net.Listener

	pause atomic.Int64
}

// Accept implements net.Listener.
func (l *pausedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return nil, net.ErrClosed
	}
	return &pausedConn{TCPConn: tcp, pause: &l.pause}, nil
}

type pausedConn struct {
	*net.TCPConn

	pause *atomic.Int64
}

// Read implements net.Conn.
func (c *pausedConn) Read(data []byte) (int, error) {
	count, err := c.TCPConn.Read(data)
	time.Sleep(time.Duration(c.pause.Load()))
	return count, err
}

// SyscallConn implements syscall.Conn. Reads through it pause, too.
func (c *pausedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return &pausedRawConn{RawConn: raw, pause: c.pause}, err
}

type pausedRawConn struct {
	syscall.RawConn

	pause *atomic.Int64
}

// Read implements syscall.RawConn.
func (c *pausedRawConn) Read(read func(descriptor uintptr) bool) error {
	return c.RawConn.Read(func(descriptor uintptr) bool {
		done := read(descriptor)
		if done {
			time.Sleep(time.Duration(c.pause.Load()))
		}
		return done
	})
}

// TestSweepDuringRead closes idle connections while the process has taken a request from
// the network but has not stored it yet. It guards against a request that was read and
// is dropped, since its connection still looks idle.
func TestSweepDuringRead(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		close func(server *httpd.Server)
	}{
		{name: "idle limit", close: func(server *httpd.Server) {
			server.CloseExpired(time.Now().Add(time.Hour), httpd.Limits{IdleTimeout: time.Minute})
		}},
		{name: "shutdown", close: func(server *httpd.Server) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_ = server.Shutdown(ctx)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			testSweepDuringRead(t, test.close)
		})
	}
}

func testSweepDuringRead(t *testing.T, closeWaiting func(server *httpd.Server)) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &pausedListener{Listener: inner}
	server := httpd.NewServer(listener, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), httpd.WithReadAhead())
	ctx, cancel := context.WithCancel(context.Background())
	served := kernel.Run(ctx, server.Serve)
	defer func() {
		cancel()
		<-served
	}()
	conn, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, shortRequest+shortRequest); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	for range 2 {
		readResponse(t, reader)
	}
	time.Sleep(50 * time.Millisecond)
	listener.pause.Store(int64(200 * time.Millisecond))
	if _, err := io.WriteString(conn, shortRequest); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // The server has read the request by now.
	closeWaiting(server)
	if _, err := http.ReadResponse(reader, nil); err != nil {
		t.Errorf("a request that had been read got no response: %v", err)
	}
}
