package front

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders concern one connection only, or are set by the fleet itself.
var hopHeaders = []string{
	"Connection",
	"Content-Length",
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

// endToEnd returns the headers without those of one connection.
func endToEnd(header http.Header) http.Header {
	copied := header.Clone()
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			copied.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		copied.Del(name)
	}
	return copied
}
