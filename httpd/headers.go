package httpd

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders concern one connection only.
var hopHeaders = []string{
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

// EndToEndHeaders returns a copy of the headers without those of one connection.
func EndToEndHeaders(header http.Header) http.Header {
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
