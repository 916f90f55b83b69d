package httpd

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
)

// framingKey is the context key of a connection's framing.
type framingKey struct{}

// framing watches the request heads of a connection, for net/http drops a
// Content-Length that stands beside a Transfer-Encoding.
type framing struct {
	line        []byte
	inBody      int64
	unwatched   bool
	length      int64
	hasLength   bool
	hasEncoding bool
	ambiguous   atomic.Bool
	chunked     atomic.Bool
}

// maxWatchedLine bounds the part of a header line that is looked at.
const maxWatchedLine = 256

// watch takes the next bytes that the caller sent.
func (f *framing) watch(data []byte) {
	for len(data) > 0 && !f.unwatched {
		if f.inBody > 0 {
			skipped := min(f.inBody, int64(len(data)))
			f.inBody -= skipped
			data = data[skipped:]
			continue
		}
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			f.keep(data)
			return
		}
		f.keep(data[:end])
		f.endLine()
		data = data[end+1:]
	}
}

func (f *framing) keep(part []byte) {
	f.line = append(f.line, part[:min(len(part), maxWatchedLine-len(f.line))]...)
}

func (f *framing) endLine() {
	line := bytes.TrimRight(f.line, "\r")
	f.line = f.line[:0]
	if len(line) == 0 {
		f.endHead()
		return
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found {
		return
	}
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.hasLength = true
		f.length, _ = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.hasEncoding = true
	}
}

// endHead decides on a head; a connection with a chunked request is not
// watched on, and has to be closed after it.
func (f *framing) endHead() {
	if f.hasEncoding {
		f.chunked.Store(true)
		f.ambiguous.Store(f.hasLength)
		f.unwatched = true
		return
	}
	f.inBody = f.length
	f.length, f.hasLength = 0, false
}

// framingListener wraps each connection that it accepts.
type framingListener struct {
	net.Listener

	eager bool
}

// Accept waits for the next connection.
func (l framingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if l.eager {
		conn = newEagerConn(conn)
	}
	return &framingConn{Conn: conn}, nil
}

// framingConn watches what is read.
type framingConn struct {
	net.Conn
	framing framing
}

// Read reads and watches.
func (c *framingConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.framing.watch(data[:count])
	return count, err
}

func withFraming(ctx context.Context, conn net.Conn) context.Context {
	if watched, isWatched := conn.(*framingConn); isWatched {
		return context.WithValue(ctx, framingKey{}, &watched.framing)
	}
	return ctx
}

// withGone also cancels the context when the caller closes the connection.
func withGone(ctx context.Context, conn net.Conn) context.Context {
	watched, isWatched := conn.(*framingConn)
	if !isWatched {
		return ctx
	}
	ctx = withFraming(ctx, conn)
	eager, isEager := watched.Conn.(*eagerConn)
	if !isEager {
		return ctx
	}
	ctx, gone := context.WithCancel(ctx)
	eager.onGone(gone)
	return ctx
}

// Framing is what is known of the framing of a request.
type Framing struct {
	Ambiguous bool
	Chunked   bool
}

// FramingOf returns the framing of a request; a chunked one has to be the last
// of its connection.
func FramingOf(r *http.Request) Framing {
	watched, isWatched := r.Context().Value(framingKey{}).(*framing)
	if !isWatched {
		return Framing{}
	}
	return Framing{Ambiguous: watched.ambiguous.Load(), Chunked: watched.chunked.Load()}
}
