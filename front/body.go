package front

import (
	"bytes"
	"io"
	"net"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"dandeliondoor/crash"
)

// maxBuffered is the largest body of a request or an answer that is kept whole.
const maxBuffered = 256 << 10

var errTooLarge = errors.New("body is larger than the limit")

// body is the body of a request: kept whole, or streamed to one server when it
// is large or its length is unknown and it turns out to be large.
type body struct {
	kept   []byte
	stream io.Reader
	length int64
}

// readBody keeps a body of up to maxBuffered bytes; limit, when above 0, bounds
// what a caller may send.
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
	kept, err := io.ReadAll(io.LimitReader(source, maxBuffered+1))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, errTooLarge
	}
	if err != nil {
		return nil, err
	}
	if len(kept) > maxBuffered {
		return &body{stream: io.MultiReader(bytes.NewReader(kept), source), length: -1}, nil
	}
	return &body{kept: kept, length: int64(len(kept))}, nil
}

// repeatable reports whether the body can be sent more than once.
func (b *body) repeatable() bool { return b.stream == nil }

// fingerprint returns a hash over caller, method, host, target and the kept body.
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
	_, _ = digest.Write(b.kept)
	return crash.Fingerprint(max(digest.Sum64(), 1))
}

// open returns the body for one attempt.
func (b *body) open() io.Reader {
	if b.stream != nil {
		return b.stream
	}
	return bytes.NewReader(b.kept)
}
