package kernel_test

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dandeliondoor/kernel"
)

// exhaustedListener fails as an Accept without free descriptors does, a number of times.
type exhaustedListener struct {
	net.Listener

	failures atomic.Int64
}

// Accept implements net.Listener.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestAcceptWithoutDescriptors lets a process run out of descriptors for a while. It
// guards against a daemon that accepts no connection of other daemons any more after that.
func TestAcceptWithoutDescriptors(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	exhausted := &exhaustedListener{Listener: listener}
	exhausted.failures.Store(3)
	accepted := make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := kernel.Run(ctx, func(ctx context.Context) error {
		return kernel.Accept(ctx, exhausted, func(_ context.Context, conn net.Conn) {
			accepted <- struct{}{}
			_ = conn.Close()
		})
	})
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	select {
	case <-accepted:
	case err := <-ended:
		t.Fatalf("accepting ended: %v", err)
	case <-time.After(10 * time.Second):
		t.Fatal("the connection was not accepted")
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestAcceptEnds closes the listener of a running Accept, which must return the error.
func TestAcceptEnds(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := kernel.Run(context.Background(), func(ctx context.Context) error {
		return kernel.Accept(ctx, listener, func(context.Context, net.Conn) {})
	})
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err == nil {
		t.Error("no error")
	}
}
