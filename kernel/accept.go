package kernel

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// Accept serves each connection of a listener in its own goroutine until the
// context ends, and returns when all of these goroutines have ended.
func Accept(ctx context.Context, listener net.Listener, serve func(ctx context.Context, conn net.Conn)) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var handlers sync.WaitGroup
	defer handlers.Wait()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept connection")
		}
		handlers.Go(func() { serve(ctx, conn) })
	}
}
