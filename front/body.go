package front

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"dandeliondoor/crash"
)

// maxBuffered bounds the part of a request or response body that is held in
// memory.
const maxBuffered = 256 << 10

var errTooLarge = errors.New("body is larger than the limit")

// body is a request body. It is buffered whole up to maxBuffered bytes; a larger
// one, whether by its declared length or as found on reading, is streamed to a
// single server; prefix is what was read of it before.
type body struct {
	buffered []byte
	prefix   []byte
	stream   io.Reader
	length   int64
}

const decimal = 10

// readBody buffers a body of up to maxBuffered bytes. A limit above 0 bounds the
// size of the body that a caller may send.
func readBody(r *http.Request, limit int64) (*body, error) {
	if limit > 0 && r.ContentLength > limit {
		return nil, errTooLarge
	}
	source := io.Reader(r.Body)
	if limit > 0 {
		source = http.MaxBytesReader(nil, r.Body, limit)
	}
	if r.ContentLength > maxBuffered {
		return &body{stream: source, length: r.ContentLength}, nil
	}
	buffered, err := io.ReadAll(io.LimitReader(source, maxBuffered+1))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, errTooLarge
	}
	if err != nil {
		return nil, err
	}
	if len(buffered) > maxBuffered {
		return &body{prefix: buffered, stream: io.MultiReader(bytes.NewReader(buffered), source), length: -1}, nil
	}
	return &body{buffered: buffered, length: int64(len(buffered))}, nil
}

// resendable reports whether the body can be sent more than once.
func (b *body) resendable() bool { return b.stream == nil }

// fingerprint returns a hash of the caller's address, the method, host, request target
// and body; of a streamed body, its declared length and what was read of it. It is never
// 0.
func (b *body) fingerprint(r *http.Request) crash.Fingerprint {
	caller, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		caller = r.RemoteAddr
	}
	digest := xxhash.New()
	for _, part := range []string{caller, r.Method, r.Host, r.RequestURI} {
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\x00")
	}
	if b.stream != nil {
		_, _ = digest.WriteString(strconv.FormatInt(b.length, decimal))
	}
	_, _ = digest.Write(b.prefix)
	_, _ = digest.Write(b.buffered)
	return crash.Fingerprint(max(digest.Sum64(), 1))
}

// reader returns the body for one attempt.
func (b *body) reader() io.Reader {
	if b.stream != nil {
		return b.stream
	}
	return bytes.NewReader(b.buffered)
}
