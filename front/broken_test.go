package front_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"dandeliondoor/platform"
	"dandeliondoor/proto"
)

// brokenResponses are responses that no caller may get, in which HEAD stands for the headers
// with the request ID and the signature. The connection is reset behind each.
var brokenResponses = []struct{ name, text string }{
	{name: "cut", text: "HTTP/1.1 200 OK\r\nHEAD\r\n\r\nlots"},
	{name: "cut, HTTP 1.0", text: "HTTP/1.0 200 OK\r\nHEAD\r\n\r\nlots"},
	{name: "status 000", text: "HTTP/1.1 000 Odd\r\nHEAD\r\nContent-Length: 4\r\n\r\nlots"},
	{name: "blank in a name", text: "HTTP/1.1 200 OK\r\nHEAD\r\nX Lot: 1\r\nContent-Length: 4\r\n\r\nlots"},
	{name: "blank behind a name", text: "HTTP/1.1 200 OK\r\nHEAD\r\nTransfer-Encoding : chunked\r\nContent-Length: 4\r\n\r\nlots"},
	{name: "folded", text: "HTTP/1.1 200 OK\r\nHEAD\r\n Content-Length: 9\r\nContent-Length: 4\r\n\r\nlots"},
}

// sendBroken sends a text instead of a response and resets the connection.
func sendBroken(t *testing.T, w http.ResponseWriter, text string) {
	t.Helper()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	head := proto.HeaderRequestID + ": " + w.Header().Get(proto.HeaderRequestID) + "\r\n" + platform.HeaderSignature + ": signed\r\n"
	if _, err := io.WriteString(conn, strings.Replace(text, "HEAD\r\n", head, 1)); err != nil {
		t.Error(err)
	}
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Error(err)
	}
}

// TestBrokenResponseRepeated lets the first server of a request that may be repeated send a
// broken response, before or after the request is hedged. The caller must get the response of
// the second server.
func TestBrokenResponseRepeated(t *testing.T) {
	t.Parallel()
	const whole = "whole"
	body := strings.Repeat("x", 200<<10)
	for _, broken := range brokenResponses {
		for _, hedged := range []bool{false, true} {
			name := broken.name
			if hedged {
				name += ", hedged"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				f := newHoldFixture(t)
				var arrivals atomic.Int64
				second, sent := make(chan struct{}), make(chan struct{})
				respond := func(w http.ResponseWriter, _ *http.Request) {
					if arrivals.Add(1) > 1 {
						close(second)
						<-sent
						_, _ = io.WriteString(w, whole)
						return
					}
					if hedged {
						<-second
					}
					sendBroken(t, w, broken.text)
					close(sent)
				}
				servers := []*holdServer{f.server("i-1"), f.server("i-2")}
				for _, s := range servers {
					s.respond(respond)
				}
				f.show(servers...)
				response, text := f.send(f.address, http.MethodPost, "/lots/1", "r-1", body)
				if response.StatusCode != http.StatusOK || text != whole || arrivals.Load() != 2 {
					t.Errorf("got status %d %q after %d attempts", response.StatusCode, text, arrivals.Load())
				}
			})
		}
	}
}
