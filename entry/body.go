package entry

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandeliondoor/crash"
)

// maxBufferedBody is the largest body that is buffered so that it can be resent.
const maxBufferedBody = 16 << 10

// bodyMargin is how long after the request's deadline a streamed body may still be
// read, so that the request's own deadline passes first.
const bodyMargin = 50 * time.Millisecond

// body is the body of a caller's request. A small body is buffered, any other is
// streamed.
type body struct {
	buffered []byte
	stream   io.ReadCloser
	length   int64
	readFrom bool
}

// readBody buffers the body if it has a known, small length.
func readBody(r *http.Request) (*body, error) {
	b := &body{stream: r.Body, length: r.ContentLength}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		return b, nil
	}
	b.buffered = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, b.buffered); err != nil {
		return nil, err
	}
	b.stream = nil
	return b, nil
}

// readDeadline returns the read deadline of the caller's connection. For a streamed
// body it is shortly after the request's deadline, because an attempt ends only when
// its body does. For a buffered body there is none.
func (b *body) readDeadline(deadline time.Time) time.Time {
	if b.stream == nil {
		return time.Time{}
	}
	return deadline.Add(bodyMargin)
}

// resendable reports whether the whole body can still be sent.
func (b *body) resendable() bool {
	return b.stream == nil || !b.readFrom
}

// opaqueReader hides the type of a body from the HTTP transport, which would
// otherwise resend requests on its own.
type opaqueReader struct {
	body   *body
	reader io.Reader
}

// Read implements io.Reader.
func (o *opaqueReader) Read(data []byte) (int, error) {
	if o.body.stream != nil {
		o.body.readFrom = true
	}
	return o.reader.Read(data)
}

// Close does nothing: the caller's body stays open for the HTTP server to drain.
func (o *opaqueReader) Close() error { return nil }

// newReader returns a reader of the body for one attempt.
func (b *body) newReader() io.ReadCloser {
	if b.stream != nil {
		return &opaqueReader{body: b, reader: b.stream}
	}
	return &opaqueReader{body: b, reader: bytes.NewReader(b.buffered)}
}

// fingerprint returns a hash of the method, host, target and body. Of a streamed
// body only the length is included. The hash is never 0.
func (b *body) fingerprint(r *http.Request) crash.Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{r.Method, r.Host, r.URL.RequestURI()} {
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\x00")
	}
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(b.length))
	_, _ = digest.Write(length[:])
	_, _ = digest.Write(b.buffered)
	return crash.Fingerprint(max(digest.Sum64(), 1))
}
