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

// gate holds up what passes it while it is closed.
type gate struct {
	closed  atomic.Bool
	reached chan struct{}
	opened  chan struct{}
}

func newGate() *gate {
	return &gate{reached: make(chan struct{}, 1), opened: make(chan struct{})}
}

// pass waits if the gate is closed, until it is opened.
func (g *gate) pass() {
	if !g.closed.Load() {
		return
	}
	select {
	case g.reached <- struct{}{}:
	default:
	}
	<-g.opened
}

// gatedListener accepts connections that pass gates before they read and before they
// close.
type gatedListener struct {
	net.Listener

	reads  *gate
	closes *gate
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return nil, net.ErrClosed
	}
	return &gatedConn{TCPConn: tcp, listener: l}, nil
}

type gatedConn struct {
	*net.TCPConn

	listener gatedListener
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.listener.closes.pass()
	return c.TCPConn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *gatedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return &gatedRawConn{RawConn: raw, reads: c.listener.reads}, err
}

type gatedRawConn struct {
	syscall.RawConn

	reads *gate
}

// Read implements syscall.RawConn.
func (c *gatedRawConn) Read(read func(descriptor uintptr) bool) error {
	return c.RawConn.Read(func(descriptor uintptr) bool {
		c.reads.pass()
		return read(descriptor)
	})
}

// startGated starts a server on a gatedListener and opens a connection on which a request
// has been answered.
func startGated(t *testing.T) (server *httpd.Server, listener gatedListener, conn net.Conn, reader *bufio.Reader) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener = gatedListener{Listener: inner, reads: newGate(), closes: newGate()}
	server = httpd.NewServer(listener, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), httpd.WithReadAhead())
	ctx, cancel := context.WithCancel(context.Background())
	served := kernel.Run(ctx, server.Serve)
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	conn = dialServer(t, inner.Addr().String())
	if _, err := io.WriteString(conn, shortRequest); err != nil {
		t.Fatal(err)
	}
	reader = bufio.NewReader(conn)
	readResponse(t, reader)
	time.Sleep(50 * time.Millisecond) // The connection counts as idle by now.
	return server, listener, conn, reader
}

// TestSweepBeforeRead sweeps while a request lies in the socket and has not been read yet.
// It guards against a connection that is closed as idle while a request waits on it.
func TestSweepBeforeRead(t *testing.T) {
	t.Parallel()
	server, listener, conn, reader := startGated(t)
	listener.reads.closed.Store(true)
	if _, err := io.WriteString(conn, shortRequest); err != nil {
		t.Fatal(err)
	}
	<-listener.reads.reached
	swept := kernel.Run(context.Background(), func(context.Context) error {
		server.CloseExpired(time.Now().Add(time.Hour), httpd.Limits{IdleTimeout: time.Minute})
		return nil
	})
	select {
	case <-swept:
	case <-time.After(time.Second): // A close waits until the gate is open.
	}
	close(listener.reads.opened)
	<-swept
	if _, err := http.ReadResponse(reader, nil); err != nil {
		t.Errorf("a request that had come got no response: %v", err)
	}
}

// TestIdleCloseIsSeenAtOnce holds up the close of an idle connection. It guards against a
// caller that learns late of it and sends a request meanwhile.
func TestIdleCloseIsSeenAtOnce(t *testing.T) {
	t.Parallel()
	server, listener, conn, reader := startGated(t)
	listener.closes.closed.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	swept := kernel.Run(ctx, func(ctx context.Context) error {
		for ctx.Err() == nil {
			server.CloseExpired(time.Now().Add(time.Hour), httpd.Limits{IdleTimeout: time.Minute})
			time.Sleep(time.Millisecond)
		}
		return nil
	})
	<-listener.closes.reached
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("got %v before the close, want the end", err)
	}
	close(listener.closes.opened)
	cancel()
	<-swept
}

// TestEndAfterShutdown ends a server whose shutdown waits for a request. It guards against
// a request that outlasts the end of the server, since Serve has returned before.
func TestEndAfterShutdown(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	busy, ended := make(chan struct{}), make(chan struct{})
	server := httpd.NewServer(listener, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(busy)
		<-r.Context().Done()
		close(ended)
	}), httpd.WithReadAhead())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	served := kernel.Run(ctx, server.Serve)
	conn := dialServer(t, listener.Addr().String())
	if _, err := io.WriteString(conn, shortRequest); err != nil {
		t.Fatal(err)
	}
	<-busy
	expired, expire := context.WithTimeout(ctx, 100*time.Millisecond)
	defer expire()
	if err := server.Shutdown(expired); err == nil {
		t.Error("the shutdown ended without an error while a request was being handled")
	}
	cancel()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Error("the request was not ended")
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// TestHeadAfterRest lets a connection rest for longer than the head of a request may take.
// It guards against a head that is taken for late because the connection rested before.
func TestHeadAfterRest(t *testing.T) {
	t.Parallel()
	const limit = 600 * time.Millisecond
	for {
		server, _, conn, reader := startGated(t)
		time.Sleep(limit)
		began := time.Now()
		if _, err := io.WriteString(conn, "GET / HT"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(limit / 10) // The server has read the part of the head by now.
		server.CloseExpired(time.Now(), httpd.Limits{HeaderTimeout: limit, IdleTimeout: time.Hour})
		late := time.Since(began) >= limit
		if _, err := io.WriteString(conn, "TP/1.1\r\nHost: souk.example\r\n\r\n"); err != nil && !late {
			t.Fatal(err)
		}
		_, err := http.ReadResponse(reader, nil)
		if err == nil {
			return
		}
		if !late {
			t.Fatalf("no response: %v", err)
		}
	}
}
