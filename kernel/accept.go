package kernel

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// Accept serves each connection of a listener in a goroutine of its own until
// the context ends, and returns once all of them have ended.
func Accept(ctx context.Context, listener net.Listener, serve func(ctx context.Context, conn net.Conn)) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept connection")
		}
		connections.Go(func() { serve(ctx, conn) })
	}
}
