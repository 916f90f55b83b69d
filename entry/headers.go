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

// forwardedHeader lists the addresses of the client and the proxies that a request
// passed through.
const forwardedHeader = "X-Forwarded-For"

// upstreamHeaders returns the headers that are sent to an upstream.
func upstreamHeaders(r *http.Request, requestID string, remaining time.Duration) http.Header {
	header := httpd.EndToEndHeaders(r.Header)
	header.Set(proto.HeaderRequestID, requestID)
	header.Set(proto.HeaderDeadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	if _, present := header["User-Agent"]; !present {
		header.Set("User-Agent", "")
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		header.Set(forwardedHeader, strings.Join(append(header[forwardedHeader], host), ", "))
	}
	return header
}

// upstreamReport is what an upstream reports about itself in the headers of a
// response.
type upstreamReport struct {
	load     float64
	draining bool
	warming  bool
	shed     bool
}

// unknownLoad is the load of an upstream whose response doesn't report one.
const unknownLoad = -1

func parseReport(response *http.Response) upstreamReport {
	header := response.Header
	report := upstreamReport{
		load:     unknownLoad,
		draining: header.Get(proto.HeaderDraining) == "true",
		warming:  header.Get(proto.HeaderWarming) == "true",
	}
	if load, err := strconv.ParseFloat(header.Get(proto.HeaderLoad), 64); err == nil && load >= 0 && load <= 1 {
		report.load = load
	}
	report.shed = response.StatusCode == http.StatusServiceUnavailable &&
		header.Get(proto.HeaderShed) == proto.ShedNotRun
	return report
}

// parseDeadline returns the timeout in the request's deadline header, and whether
// the header is present.
func parseDeadline(r *http.Request) (time.Duration, bool, error) {
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
