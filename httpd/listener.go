package httpd

import (
	"context"
	"net"
	"time"
)

// callerListener wraps accepted connections in a callerConn.
type callerListener struct {
	net.Listener

	readAhead bool
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCallerConn(time.Now(), conn, l.readAhead), nil
}

// connKey is the context key of the callerConn of a request.
type connKey struct{}

// withConn adds the connection to the context and cancels the context when the
// connection ends.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	caller, isCaller := conn.(*callerConn)
	if !isCaller {
		return ctx
	}
	ctx, cancel := context.WithCancelCause(context.WithValue(ctx, connKey{}, caller))
	caller.setOnDisconnect(cancel)
	return ctx
}

// connOf returns the connection of a request, or nil.
func connOf(ctx context.Context) *callerConn {
	caller, _ := ctx.Value(connKey{}).(*callerConn)
	return caller
}
