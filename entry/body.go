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

// maxBufferedBody is the largest body that is kept for a retry.
const maxBufferedBody = 16 << 10

// bodyMargin lets the request's own deadline pass before its body's.
const bodyMargin = 50 * time.Millisecond

// body is the body of a caller's request, kept when it is small.
type body struct {
	buffered []byte
	stream   io.ReadCloser
	length   int64
	touched  bool
}

// readBody keeps a small body of known length, and leaves any other to be
// streamed.
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

// readDeadline returns when reading the caller's connection has to end: for a
// streamed body soon after the request's deadline, since an attempt ends only
// once its body does, and never for one that is kept.
func (b *body) readDeadline(deadline time.Time) time.Time {
	if b.stream == nil {
		return time.Time{}
	}
	return deadline.Add(bodyMargin)
}

// intact reports whether the body can still be sent as a whole.
func (b *body) intact() bool {
	return b.stream == nil || !b.touched
}

// opaqueReader hides the type of a body from the transport, which else would
// send a request again by itself.
type opaqueReader struct {
	body   *body
	reader io.Reader
}

// Read reads the body.
func (o *opaqueReader) Read(data []byte) (int, error) {
	if o.body.stream != nil {
		o.body.touched = true
	}
	return o.reader.Read(data)
}

// Close leaves the caller's body open for the server to drain.
func (o *opaqueReader) Close() error { return nil }

// open returns the body for one attempt.
func (b *body) open() io.ReadCloser {
	if b.stream != nil {
		return &opaqueReader{body: b, reader: b.stream}
	}
	return &opaqueReader{body: b, reader: bytes.NewReader(b.buffered)}
}

// fingerprint returns a hash over method, host, target and body; of a streamed
// body only the length counts.
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
