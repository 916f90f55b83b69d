package entry

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dandeliondoor/httpd"
	"dandeliondoor/proto"
)

// forwardedHeader lists the addresses that a request came through.
const forwardedHeader = "X-Forwarded-For"

// requestHeaders returns what an upstream receives.
func requestHeaders(r *http.Request, requestID string, left time.Duration) http.Header {
	header := httpd.EndToEndHeaders(r.Header)
	header.Set(proto.HeaderRequestID, requestID)
	header.Set(proto.HeaderDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if _, present := header["User-Agent"]; !present {
		header.Set("User-Agent", "")
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		header.Set(forwardedHeader, strings.Join(append(header[forwardedHeader], host), ", "))
	}
	return header
}

// report is what an upstream says of itself in an answer.
type report struct {
	load     float64
	draining bool
	warming  bool
	shed     bool
}

// unknownLoad stands for an answer without a load.
const unknownLoad = -1

func reportOf(response *http.Response) report {
	header := response.Header
	said := report{
		load:     unknownLoad,
		draining: header.Get(proto.HeaderDraining) == "true",
		warming:  header.Get(proto.HeaderWarming) == "true",
	}
	if load, err := strconv.ParseFloat(header.Get(proto.HeaderLoad), 64); err == nil && load >= 0 && load <= 1 {
		said.load = load
	}
	said.shed = response.StatusCode == http.StatusServiceUnavailable &&
		header.Get(proto.HeaderShed) == proto.ShedNotRun
	return said
}

// callerDeadline returns the time that the caller gives, and whether its header
// can be read.
func callerDeadline(r *http.Request) (time.Duration, bool, error) {
	text := r.Header.Get(proto.HeaderDeadline)
	if text == "" {
		return 0, false, nil
	}
	milliseconds, err := strconv.ParseUint(text, 10, 31)
	if err != nil || milliseconds == 0 {
		return 0, false, errBadDeadline
	}
	return time.Duration(milliseconds) * time.Millisecond, true, nil
}
