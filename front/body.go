package front

import (
	"bytes"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"dandeliondoor/crash"
	"dandeliondoor/quota"
)

// maxBuffered bounds the part of a request or response body that is held in
// memory. While the quota of the process is used up it is a few kilobytes.
const maxBuffered = 256 << 10

var errTooLarge = errors.New("body is larger than the limit")

// body is a request body. It is buffered whole up to maxBuffered bytes; a larger
// one, whether by its declared length or as found on reading, is streamed to a
// single server; prefix is what was read of it before. Release must be called at the end
// of the request.
type body struct {
	release  func()
	buffered []byte
	prefix   []byte
	stream   io.Reader
	length   int64
}

const decimal = 10

// readBody buffers a body of up to maxBuffered bytes, as far as the quota allows. A limit
// above 0 bounds the size of the body that a caller may send.
func readBody(r *http.Request, limit int64, memory *quota.Quota) (*body, error) {
	if limit > 0 && r.ContentLength > limit {
		return nil, errTooLarge
	}
	source := io.Reader(r.Body)
	if limit > 0 {
		source = http.MaxBytesReader(nil, r.Body, limit)
	}
	if r.ContentLength > maxBuffered {
		return &body{stream: source, length: r.ContentLength, release: func() {}}, nil
	}
	buffer, ended, err := memory.Read(source, maxBuffered+1)
	if err != nil {
		buffer.Release()
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, errTooLarge
	}
	if err != nil {
		return nil, err
	}
	data := buffer.Bytes()
	if !ended {
		stream := io.MultiReader(bytes.NewReader(data), source)
		return &body{prefix: data, stream: stream, length: r.ContentLength, release: buffer.Release}, nil
	}
	return &body{buffered: data, length: int64(len(data)), release: buffer.Release}, nil
}

// resendable reports whether the body can be sent more than once.
func (b *body) resendable() bool { return b.stream == nil }

// identity returns the fingerprints of the request with this body: of the caller, which
// is the given account or else the address, with path and body, and of what is sent. For
// a streamed body they use its declared length and what was read of it.
func (b *body) identity(r *http.Request, account string) crash.Identity {
	if account == "" {
		account = callerAddress(r)
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return crash.NewIdentity(b.hash(account, path), b.hash(r.Method, strings.ToLower(r.Host), r.RequestURI))
}

// hash returns a hash of some texts and the body.
func (b *body) hash(texts ...string) uint64 {
	digest := xxhash.New()
	for _, text := range texts {
		_, _ = digest.WriteString(text)
		_, _ = digest.WriteString("\x00")
	}
	if b.stream != nil {
		_, _ = digest.WriteString(strconv.FormatInt(b.length, decimal))
	}
	_, _ = digest.Write(b.prefix)
	_, _ = digest.Write(b.buffered)
	return digest.Sum64()
}

// callerAddress returns the IP address of the caller.
func callerAddress(r *http.Request) string {
	address, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return address.Addr().Unmap().String()
}

// reader returns the body for one attempt.
func (b *body) reader() io.Reader {
	if b.stream != nil {
		return b.stream
	}
	return bytes.NewReader(b.buffered)
}
