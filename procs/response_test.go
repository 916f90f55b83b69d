package procs_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"dandeliondoor/fakes"
	"dandeliondoor/platform"
	"dandeliondoor/proto"
)

// rawServer answers each request with a text that its path selects, in which ID stands
// for the request ID. A text that doesn't end within the response closes the connection.
type rawServer struct {
	listener  net.Listener
	responses map[string]string
}

// startRawServer starts a rawServer and registers it in the store.
func (f *frontFleet) startRawServer(responses map[string]string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(f.t, err)
	f.t.Cleanup(func() { _ = listener.Close() })
	s := &rawServer{listener: listener, responses: responses}
	go s.accept()
	address := netip.MustParseAddrPort(listener.Addr().String())
	must(f.t, fakes.NewServer("i-raw", "souk", zones[0], address).Register(f.store, false))
}

func (s *rawServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// serve answers requests until one has no response.
func (s *rawServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		text := s.responses[request.URL.Path]
		head := proto.HeaderRequestID + ": " + request.Header.Get(proto.HeaderRequestID) + "\r\n" + platform.HeaderSignature + ": signed\r\n"
		if _, err := io.WriteString(conn, strings.Replace(text, "HEAD\r\n", head, 1)); err != nil {
			return
		}
		if strings.Contains(text, "X-End: close") {
			return
		}
	}
}

// oddResponse is a response of a server, and what the caller gets for it. HEAD stands
// for the headers with the request ID and the signature.
type oddResponse struct {
	name   string
	method string
	text   string
	status int
	body   string
}

var oddResponses = []oddResponse{
	{name: "informational first", text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nHEAD\r\nContent-Length: 3\r\n\r\nlot", status: 200, body: "lot"},
	{name: "switching protocols", text: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: lots\r\nConnection: Upgrade\r\nHEAD\r\n\r\nX-End: close", status: 502},
	{name: "no content", text: "HTTP/1.1 204 No Content\r\nHEAD\r\n\r\n", status: 204},
	{name: "no content with a body", text: "HTTP/1.1 204 No Content\r\nHEAD\r\nContent-Length: 3\r\n\r\nlot", status: 204},
	{name: "not modified", text: "HTTP/1.1 304 Not Modified\r\nHEAD\r\nContent-Length: 3\r\n\r\n", status: 304},
	{name: "HEAD", method: http.MethodHead, text: "HTTP/1.1 200 OK\r\nHEAD\r\nContent-Length: 3\r\n\r\n", status: 200},
	{name: "HEAD with a body", method: http.MethodHead, text: "HTTP/1.1 200 OK\r\nHEAD\r\nContent-Length: 3\r\n\r\nlot", status: 200},
	{name: "HEAD without a length", method: http.MethodHead, text: "HTTP/1.1 200 OK\r\nHEAD\r\n\r\nX-End: close", status: 200},
	{name: "ends with the connection", text: "HTTP/1.1 200 OK\r\nHEAD\r\nX-End: close\r\n\r\nlot", status: 200, body: "lot"},
	{name: "trailer", text: "HTTP/1.1 200 OK\r\nHEAD\r\nTrailer: Digest\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nlot\r\n0\r\nDigest: 1\r\n\r\n", status: 200, body: "lot"},
	{name: "status 600", text: "HTTP/1.1 600 Odd\r\nHEAD\r\nContent-Length: 3\r\n\r\nlot", status: 600, body: "lot"},
	{name: "status 999", text: "HTTP/1.1 999 Odd\r\nHEAD\r\nContent-Length: 3\r\n\r\nlot", status: 999, body: "lot"},
	{name: "two lengths", text: "HTTP/1.1 200 OK\r\nHEAD\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nlot", status: 502},
	{name: "negative length", text: "HTTP/1.1 200 OK\r\nHEAD\r\nContent-Length: -3\r\n\r\nlot", status: 502},
	{name: "huge length", text: "HTTP/1.1 200 OK\r\nHEAD\r\nContent-Length: 99999999999999999999\r\n\r\nlot", status: 502},
	{name: "length and chunks", text: "HTTP/1.1 200 OK\r\nHEAD\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nlot\r\n0\r\n\r\n", status: 200, body: "lot"},
	{name: "bad chunk", text: "HTTP/1.1 200 OK\r\nHEAD\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nlot", status: 502},
	{name: "connection headers", text: "HTTP/1.1 200 OK\r\nHEAD\r\nConnection: close, X-Lot\r\nX-Lot: 1\r\nKeep-Alive: timeout=-5\r\nContent-Length: 3\r\n\r\nlot", status: 200, body: "lot"},
	{name: "bytes after the response", text: "HTTP/1.1 200 OK\r\nHEAD\r\nContent-Length: 3\r\n\r\nlotHTTP/1.1 200 OK\r\n", status: 200, body: "lot"},
	{name: "control character", text: "HTTP/1.1 200 OK\r\nHEAD\r\nX-Lot: a\x01b\r\nContent-Length: 3\r\n\r\nlot", status: 502},
	{name: "empty header name", text: "HTTP/1.1 200 OK\r\nHEAD\r\n: lot\r\nContent-Length: 3\r\n\r\nlot", status: 502},
	{name: "not HTTP", text: "lots of bytes\r\n\r\nX-End: close", status: 502},
	{name: "nothing", text: "X-End: close", status: 502},
}

// TestFrontOddResponses lets a server answer in unusual forms. Each caller must get an
// answer, over the same connection if it is kept.
func TestFrontOddResponses(t *testing.T) {
	t.Parallel()
	f := newFrontFleet(t, 1, 0)
	responses := make(map[string]string)
	for _, test := range oddResponses {
		responses["/bales/"+strings.ReplaceAll(test.name, " ", "-")] = test.text
	}
	f.startRawServer(responses)
	f.eventually("the server to be known", func() bool {
		_, status, _, err := f.send(f.fronts[0], http.MethodPost, "/bales/no-content", "")
		return err == nil && status == http.StatusNoContent
	})
	for _, test := range oddResponses {
		method := http.MethodPost
		if test.method != "" {
			method = test.method
		}
		start := time.Now()
		_, status, body, err := f.send(f.fronts[0], method, "/bales/"+strings.ReplaceAll(test.name, " ", "-"), "")
		if err != nil || status != test.status || (status == http.StatusOK && body != test.body) {
			t.Errorf("%s: got status %d %q, error %v after %s, want %d %q", test.name, status, body, err, time.Since(start), test.status, test.body)
		}
	}
}
