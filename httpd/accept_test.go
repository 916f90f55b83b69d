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

// crowdedListener accepts one connection. After that another one is always pending.
type crowdedListener struct {
	*net.TCPListener

	accepted bool
}

// Accept implements net.Listener.
func (l *crowdedListener) Accept() (net.Conn, error) {
	if !l.accepted {
		l.accepted = true
		return l.TCPListener.Accept()
	}
	time.Sleep(time.Millisecond)
	if _, err := l.SyscallConn(); err != nil {
		return nil, err
	}
	return nil, os.ErrDeadlineExceeded
}

// TestShutdownWhileConnsArrive shuts a server down to which callers connect all the time. It
// guards against connections that wait for a request and are closed only when that ends, or
// by the end of the process.
func TestShutdownWhileConnsArrive(t *testing.T) {
	t.Parallel()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	server := httpd.NewServer(&crowdedListener{TCPListener: listener}, http.NotFoundHandler(), httpd.WithReadAhead())
	ctx, cancel := context.WithCancel(context.Background())
	served := kernel.Run(ctx, server.Serve)
	conn := dialServer(t, listener.Addr().String())
	reader := bufio.NewReader(conn)
	if _, err := io.WriteString(conn, shortRequest); err != nil {
		t.Fatal(err)
	}
	readResponse(t, reader)
	dialServer(t, listener.Addr().String())
	stop, cancelStop := context.WithCancel(ctx)
	shutDown := kernel.Run(stop, server.Shutdown)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("got %v, want the connection to be closed", err)
	}
	cancelStop()
	<-shutDown
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
}
