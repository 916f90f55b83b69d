package kernel

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// acceptRetryDelay is the delay after a connection could not be accepted because the
// process or the system has run out of descriptors or buffers.
const acceptRetryDelay = 50 * time.Millisecond

// Accept serves each connection of a listener in its own goroutine until the
// context ends, and returns when all of these goroutines have ended.
func Accept(ctx context.Context, listener net.Listener, serve func(ctx context.Context, conn net.Conn)) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var handlers sync.WaitGroup
	defer handlers.Wait()
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case err == nil:
			handlers.Go(func() { serve(ctx, conn) })
		case Exhausted(err):
			pause(ctx, acceptRetryDelay)
		default:
			return errors.Wrap(err, "accept connection")
		}
	}
}

// Exhausted reports whether an error of accept passes when others have released descriptors or
// memory.
func Exhausted(err error) bool {
	for _, target := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

func pause(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
