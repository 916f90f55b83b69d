package httpd_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
)

// exhaustedListener fails a number of times with an error of accept.
type exhaustedListener struct {
	net.Listener

	failures atomic.Int64
	errno    syscall.Errno
}

// Accept implements net.Listener.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.errno)}
	}
	return l.Listener.Accept()
}

// TestAcceptExhausted lets accept fail for want of descriptors or memory for a while. It
// guards against a daemon that accepts no callers any more after that.
func TestAcceptExhausted(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		errno syscall.Errno
	}{
		{name: "descriptors of the process", errno: syscall.EMFILE},
		{name: "descriptors of the system", errno: syscall.ENFILE},
		{name: "buffers", errno: syscall.ENOBUFS},
		{name: "memory", errno: syscall.ENOMEM},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			exhausted := &exhaustedListener{Listener: listener, errno: test.errno}
			exhausted.failures.Store(3)
			server := httpd.NewServer(exhausted, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), httpd.WithReadAhead())
			ctx, cancel := context.WithCancel(context.Background())
			served := kernel.Run(ctx, server.Serve)
			conn := dialServer(t, listener.Addr().String())
			if _, err := io.WriteString(conn, shortRequest); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
				t.Errorf("no response: %v", err)
			}
			cancel()
			if err := <-served; err != nil {
				t.Errorf("the server ended with %v", err)
			}
		})
	}
}
