package upconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/dialer"
	"dandeliondoor/heads"
)

// Limits of one request-response exchange.
const (
	bufferSize = 4 << 10
	// maxInlineBody is the largest body that is written before the response is
	// read. A longer body is written concurrently, because an upstream may respond
	// before it has read the whole body.
	maxInlineBody = 2 << 10
	// maxUnmatched limits how many responses to other requests are skipped.
	maxUnmatched = 2
	// maxUnmatchedBody limits the body of a skipped response, in bytes.
	maxUnmatchedBody = 1 << 20
	// maxInterim limits how many informational (1xx) responses are skipped.
	maxInterim = 16
	// maxHeadBytes limits the status line and header of a response, together with
	// the informational responses before it.
	maxHeadBytes = 64 << 10
	// maxStatus is the highest status code of three digits. RFC 9110 has callers treat those
	// above 599 as server errors, so they are passed on unchanged.
	maxStatus = 999
)

var (
	errEndlessBody = errors.New("response to another request is too long")
	errInterim     = errors.New("received too many informational responses")
	errLongHead    = errors.New("response header is too long")
	errNoLength    = errors.New("response to another request has no length")
	errStatus      = errors.New("response status is not from 100 to 999")
	errSwitched    = errors.New("upstream switched protocols without being asked to")
	errUnmatched   = errors.New("received only responses to other requests")
	errUnsolicited = errors.New("received a response before the request was sent")
)

// pastDeadline is a deadline that makes all reads and writes fail at once.
var pastDeadline = time.Unix(1, 0)

// Request is a request to an upstream. Header is sent as it is and must not contain
// framing headers, which are derived from Length. A negative Length selects
// chunked encoding. Matches reports whether a response with the given header
// belongs to this request; first is set for the first response on the connection, which
// cannot belong to an earlier request. Informational, if set, is called for each
// informational (1xx) response before the final one, by the goroutine that calls Do.
type Request struct {
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Body    io.Reader
	Length  int64
	Matches func(header http.Header, first bool) bool

	Informational func(status int, header http.Header)
}

// Conn is a connection to an upstream.
type Conn struct {
	conn       net.Conn
	target     Target
	openedAt   time.Time
	received   *boundedReader
	checked    *heads.Reader
	reader     *bufio.Reader
	sent       *sendState
	lastUsed   time.Time
	keepAlive  time.Duration
	requests   int
	reusable   bool
	writeDone  chan error
	stopCancel func() bool
}

func newConn(conn net.Conn, target Target) *Conn {
	received := &boundedReader{conn: conn}
	checked := heads.NewReader(received)
	return &Conn{
		conn:      conn,
		target:    target,
		openedAt:  time.Now(),
		received:  received,
		checked:   checked,
		reader:    bufio.NewReaderSize(checked, bufferSize),
		lastUsed:  time.Now(),
		keepAlive: defaultKeepAlive,
	}
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() }

// Age returns the time since the connection was opened.
func (c *Conn) Age(now time.Time) time.Duration { return now.Sub(c.openedAt) }

func (c *Conn) expiresAt() time.Time { return c.lastUsed.Add(c.keepAlive) }

// usable reports whether an idle connection hasn't expired and the upstream has
// neither closed it nor sent unsolicited bytes.
func (c *Conn) usable(now time.Time) bool {
	if !now.Before(c.expiresAt()) {
		return false
	}
	return dialer.Quiet(c.conn)
}

// Do sends a request and returns the response, whose body has not been read yet.
// Finish must be called after reading it to its end, and Close instead if that
// fails. Preceding responses to other requests are skipped. When the context ends,
// all reads and writes fail.
func (c *Conn) Do(ctx context.Context, request *Request) (*http.Response, error) {
	c.reusable = false
	reused := c.requests > 0
	c.requests++
	c.sent = newSendState()
	c.stopCancel = context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(pastDeadline) })
	c.startWrite(request)
	response, err := c.readResponse(request)
	if err != nil {
		return nil, &ConnError{Written: c.sent.seal(), Reused: reused, Err: err}
	}
	if c.sent.sealUnsent() {
		return nil, &ConnError{Reused: reused, Err: errUnsolicited}
	}
	return response, nil
}

// Finish records that the response body was read to its end, and determines
// whether the connection can carry another request.
func (c *Conn) Finish(response *http.Response) {
	c.reusable = c.stopCancel() && isFramed(response) && !response.Close && c.requestWritten() && c.reader.Buffered() == 0
	if timeout, present := keepAliveTimeout(response.Header); present {
		c.keepAlive = max(timeout-keepAliveMargin, 0)
	}
}

// startWrite writes a request with a short body before it returns. If the body is
// longer or of unknown length, a goroutine writes while the response is read.
func (c *Conn) startWrite(request *Request) {
	c.writeDone = make(chan error, 1)
	if request.Length >= 0 && request.Length <= maxInlineBody {
		c.writeDone <- c.write(request)
		return
	}
	go func(done chan<- error) { done <- c.write(request) }(c.writeDone)
}

// requestWritten reports whether the whole request has been written by now.
func (c *Conn) requestWritten() bool {
	select {
	case err := <-c.writeDone:
		return err == nil
	default:
		return false
	}
}

func (c *Conn) write(request *Request) error {
	writer := bufio.NewWriterSize(trackingWriter{conn: c.conn, sent: c.sent}, bufferSize)
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
		// The request body could not be read to its end, so the upstream has an
		// incomplete request. Stop waiting for its response.
		_ = c.conn.SetDeadline(pastDeadline)
	}
	return err
}

// readResponse reads responses until one matches the request. It skips a limited
// number of informational (1xx) responses and of responses to other requests.
func (c *Conn) readResponse(request *Request) (*http.Response, error) {
	httpRequest := &http.Request{Method: request.Method}
	c.received.limit(maxHeadBytes, errLongHead)
	for unmatched, interim := 0, 0; unmatched <= maxUnmatched; {
		response, err := c.readHead(httpRequest)
		if err != nil {
			return nil, c.received.cause(err)
		}
		switch {
		case response.StatusCode < http.StatusContinue, response.StatusCode > maxStatus:
			return nil, errStatus
		case response.StatusCode == http.StatusSwitchingProtocols:
			// What follows is not HTTP. No request asks for that, since Upgrade isn't passed on.
			return nil, errSwitched
		case response.StatusCode < http.StatusOK:
			if interim++; interim > maxInterim {
				return nil, errInterim
			}
			if request.Informational != nil {
				request.Informational(response.StatusCode, response.Header)
			}
		case request.Matches(response.Header, c.requests == 1 && unmatched == 0):
			c.received.unlimit()
			if response.Body != http.NoBody && !isFramed(response) {
				response.Body = &unframedBody{ReadCloser: response.Body, conn: c}
			}
			return response, nil
		default:
			unmatched++
			c.received.unlimit()
			if err := discardBody(response); err != nil {
				return nil, err
			}
			c.received.limit(maxHeadBytes, errLongHead)
		}
	}
	return nil, errUnmatched
}

// readHead reads the head of the next response.
func (c *Conn) readHead(request *http.Request) (*http.Response, error) {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.checked.ExpectHead(buffered); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, request)
}

// discardBody reads the body of a response to another request to its end and drops
// it. It does not close the body if that is too long, since closing reads the rest.
func discardBody(response *http.Response) error {
	if !isFramed(response) {
		return errNoLength
	}
	count, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxUnmatchedBody+1))
	if err != nil {
		return err
	}
	if count > maxUnmatchedBody {
		return errEndlessBody
	}
	return response.Body.Close()
}

func writeHead(w *bufio.Writer, request *Request) {
	writeStrings(w, request.Method, " ", request.Target, " HTTP/1.1\r\nHost: ", request.Host, "\r\n")
	for name, values := range request.Header {
		for _, value := range values {
			writeStrings(w, name, ": ", value, "\r\n")
		}
	}
	switch {
	case request.Length < 0:
		writeStrings(w, "Transfer-Encoding: chunked\r\n")
	case request.Length > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut:
		writeStrings(w, "Content-Length: ", strconv.FormatInt(request.Length, 10), "\r\n")
	}
	writeStrings(w, "\r\n")
}

// writeStrings ignores errors: bufio.Writer keeps the first one and returns it
// from Flush.
func writeStrings(w *bufio.Writer, parts ...string) {
	for _, part := range parts {
		_, _ = w.WriteString(part)
	}
}

func writeChunks(w *bufio.Writer, body io.Reader) error {
	buffer := make([]byte, bufferSize)
	for {
		count, err := body.Read(buffer)
		if count > 0 {
			writeStrings(w, strconv.FormatInt(int64(count), 16), "\r\n", string(buffer[:count]), "\r\n")
		}
		if errors.Is(err, io.EOF) {
			writeStrings(w, "0\r\n\r\n")
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header, and
// whether there is one.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for parameter := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}
