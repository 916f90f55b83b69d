package httpd

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders apply to a single connection and aren't forwarded.
var hopByHopHeaders = []string{
	"Connection",
	"Expect",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// EndToEndHeaders returns a copy of the headers without the hop-by-hop headers,
// which include those listed in the Connection header.
func EndToEndHeaders(header http.Header) http.Header {
	copied := header.Clone()
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			copied.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		copied.Del(name)
	}
	return copied
}
