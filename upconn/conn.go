package upconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// The bounds of one exchange.
const (
	bufferSize = 4 << 10
	// inlineBody is the largest body that is written before the answer is read;
	// longer ones are written meanwhile, for an upstream may answer early.
	inlineBody = 2 << 10
	// maxForeign bounds the answers to other requests that are passed over.
	maxForeign = 2
	// maxForeignBody bounds the body of such an answer.
	maxForeignBody = 1 << 20
)

var (
	errNoLength = errors.New("an answer to another request has no length")
	errForeign  = errors.New("only answers to other requests came")
)

// longPast is a deadline that ends each read and write at once.
var longPast = time.Unix(1, 0)

// Request is what is sent: the head as it goes out, but for its framing, and the
// body. Length is negative for a body that is sent in chunks.
type Request struct {
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Body    io.Reader
	Length  int64
	Matches func(header http.Header) bool
}

// Conn is one connection to an upstream.
type Conn struct {
	conn    net.Conn
	target  Target
	reader  *bufio.Reader
	sent    atomic.Int64
	usedAt  time.Time
	keep    time.Duration
	uses    int
	clean   bool
	sending chan error
	stop    func() bool
}

func newConn(conn net.Conn, target Target) *Conn {
	return &Conn{
		conn:   conn,
		target: target,
		reader: bufio.NewReaderSize(conn, bufferSize),
		usedAt: time.Now(),
		keep:   defaultKeep,
	}
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() }

func (c *Conn) keepUntil() time.Time { return c.usedAt.Add(c.keep) }

// usable reports whether the upstream has neither closed the connection nor sent
// bytes that nobody asked for.
func (c *Conn) usable(now time.Time) bool {
	if !now.Before(c.keepUntil()) {
		return false
	}
	raw, isRaw := c.conn.(syscall.Conn)
	if !isRaw {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, unix.EAGAIN)
	})
	return err == nil && quiet
}

// Do sends a request and returns the head of its answer; the body is read from
// the answer. Answers to other requests that come first are passed over. When
// the context ends, so do all reads and writes.
func (c *Conn) Do(ctx context.Context, request *Request) (*http.Response, error) {
	c.clean = false
	reused := c.uses > 0
	c.uses++
	c.sent.Store(0)
	c.stop = context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(longPast) })
	c.send(request)
	response, err := c.answer(request)
	if err != nil {
		return nil, &ConnError{Written: c.sent.Load() > 0, Reused: reused, Err: err}
	}
	return response, nil
}

// Finish notes that the body of the answer was read whole, and whether the
// connection can carry another request.
func (c *Conn) Finish(response *http.Response) {
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	c.clean = c.stop() && framed && !response.Close && c.sentWhole() && c.reader.Buffered() == 0
	if keep, given := keepAlive(response.Header); given {
		c.keep = max(keep-keepMargin, 0)
	}
}

// send writes the request; a long body goes on while the answer is read.
func (c *Conn) send(request *Request) {
	c.sending = make(chan error, 1)
	if request.Length >= 0 && request.Length <= inlineBody {
		c.sending <- c.write(request)
		return
	}
	go func(done chan<- error) { done <- c.write(request) }(c.sending)
}

// sentWhole reports whether the request was written to its end by now.
func (c *Conn) sentWhole() bool {
	select {
	case err := <-c.sending:
		return err == nil
	default:
		return false
	}
}

func (c *Conn) write(request *Request) error {
	writer := bufio.NewWriterSize(countingWriter{conn: c.conn, sent: &c.sent}, bufferSize)
	writeHead(writer, request)
	var err error
	switch {
	case request.Length < 0:
		err = writeChunks(writer, request.Body)
	case request.Length > 0:
		_, err = io.CopyN(writer, request.Body, request.Length)
	}
	if flushErr := writer.Flush(); flushErr != nil {
		return flushErr
	}
	if err != nil {
		// The body of the caller ended early, so no answer is worth waiting for.
		_ = c.conn.SetDeadline(longPast)
	}
	return err
}

// answer reads heads until one belongs to the request.
func (c *Conn) answer(request *Request) (*http.Response, error) {
	asked := &http.Request{Method: request.Method}
	for foreign := 0; foreign <= maxForeign; {
		response, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode >= 100 && response.StatusCode < 200:
		case request.Matches(response.Header):
			return response, nil
		default:
			foreign++
			if err := skip(response); err != nil {
				return nil, err
			}
		}
	}
	return nil, errForeign
}

// skip reads past an answer to another request.
func skip(response *http.Response) error {
	defer response.Body.Close()
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errNoLength
	}
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBody))
	return err
}

// countingWriter counts the bytes that left.
type countingWriter struct {
	conn net.Conn
	sent *atomic.Int64
}

// Write writes to the connection.
func (w countingWriter) Write(data []byte) (int, error) {
	count, err := w.conn.Write(data)
	w.sent.Add(int64(count))
	return count, err
}

func writeHead(w *bufio.Writer, request *Request) {
	writeAll(w, request.Method, " ", request.Target, " HTTP/1.1\r\nHost: ", request.Host, "\r\n")
	for name, values := range request.Header {
		for _, value := range values {
			writeAll(w, name, ": ", value, "\r\n")
		}
	}
	switch {
	case request.Length < 0:
		writeAll(w, "Transfer-Encoding: chunked\r\n")
	case request.Length > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut:
		writeAll(w, "Content-Length: ", strconv.FormatInt(request.Length, 10), "\r\n")
	}
	writeAll(w, "\r\n")
}

// writeAll writes parts of a head; the error of a bufio.Writer stays until it is
// flushed.
func writeAll(w *bufio.Writer, parts ...string) {
	for _, part := range parts {
		_, _ = w.WriteString(part)
	}
}

func writeChunks(w *bufio.Writer, body io.Reader) error {
	piece := make([]byte, bufferSize)
	for {
		count, err := body.Read(piece)
		if count > 0 {
			writeAll(w, strconv.FormatInt(int64(count), 16), "\r\n", string(piece[:count]), "\r\n")
		}
		if errors.Is(err, io.EOF) {
			writeAll(w, "0\r\n\r\n")
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// keepAlive returns the time for which an upstream says that it keeps the
// connection.
func keepAlive(header http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}
