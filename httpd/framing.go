package httpd

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
)

// framingKey is the context key of a connection's framingParser.
type framingKey struct{}

// framingParser parses the framing headers of the requests on a connection. This
// duplicates work of net/http, because net/http removes the Content-Length header
// of a request that also has Transfer-Encoding and so hides the ambiguity.
type framingParser struct {
	line          []byte
	bodyRemaining int64
	stopped       bool
	length        int64
	hasLength     bool
	hasEncoding   bool
	ambiguous     atomic.Bool
	chunked       atomic.Bool
}

// maxParsedLine limits how much of a header line is parsed.
const maxParsedLine = 256

// parse processes the next bytes that the caller sent.
func (f *framingParser) parse(data []byte) {
	for len(data) > 0 && !f.stopped {
		if f.bodyRemaining > 0 {
			skipped := min(f.bodyRemaining, int64(len(data)))
			f.bodyRemaining -= skipped
			data = data[skipped:]
			continue
		}
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			f.appendLine(data)
			return
		}
		f.appendLine(data[:end])
		f.endLine()
		data = data[end+1:]
	}
}

func (f *framingParser) appendLine(part []byte) {
	f.line = append(f.line, part[:min(len(part), maxParsedLine-len(f.line))]...)
}

func (f *framingParser) endLine() {
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

// endHead evaluates the headers of a request. After a chunked request parsing
// stops, since chunks aren't parsed; the connection has to be closed after that
// request.
func (f *framingParser) endHead() {
	if f.hasEncoding {
		f.chunked.Store(true)
		f.ambiguous.Store(f.hasLength)
		f.stopped = true
		return
	}
	f.bodyRemaining = f.length
	f.length, f.hasLength = 0, false
}

// framingListener wraps accepted connections in a framingConn, and in a
// readAheadConn if readAhead is set.
type framingListener struct {
	net.Listener

	readAhead bool
}

// Accept implements net.Listener.
func (l framingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if l.readAhead {
		conn = newReadAheadConn(conn)
	}
	return &framingConn{Conn: conn}, nil
}

// framingConn passes the data that is read to a framingParser.
type framingConn struct {
	net.Conn
	parser framingParser
}

// Read implements net.Conn.
func (c *framingConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.parser.parse(data[:count])
	return count, err
}

// withFraming adds the connection's framingParser to the context.
func withFraming(ctx context.Context, conn net.Conn) context.Context {
	if framed, isFramed := conn.(*framingConn); isFramed {
		return context.WithValue(ctx, framingKey{}, &framed.parser)
	}
	return ctx
}

// withDisconnect does the same as withFraming and also cancels the context when
// the caller closes the connection.
func withDisconnect(ctx context.Context, conn net.Conn) context.Context {
	framed, isFramed := conn.(*framingConn)
	if !isFramed {
		return ctx
	}
	ctx = withFraming(ctx, conn)
	readAhead, isReadAhead := framed.Conn.(*readAheadConn)
	if !isReadAhead {
		return ctx
	}
	ctx, cancel := context.WithCancelCause(ctx)
	readAhead.setOnDisconnect(cancel)
	return ctx
}

// Framing describes how the length of a request body is given. Ambiguous is set
// for a request with both Content-Length and Transfer-Encoding, which can be used
// for request smuggling. Chunked is set for a request with Transfer-Encoding.
type Framing struct {
	Ambiguous bool
	Chunked   bool
}

// FramingOf returns the framing of a request. The connection has to be closed
// after a chunked request, since the framing of later requests isn't parsed. The
// framing of a pipelined later request is returned if that one has been read from
// the connection already and is chunked.
func FramingOf(r *http.Request) Framing {
	parser, found := r.Context().Value(framingKey{}).(*framingParser)
	if !found {
		return Framing{}
	}
	return Framing{Ambiguous: parser.ambiguous.Load(), Chunked: parser.chunked.Load()}
}
